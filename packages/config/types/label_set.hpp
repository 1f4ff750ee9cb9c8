#ifndef ENDIVEWARD_CONFIG_TYPES_LABEL_SET_HPP
#define ENDIVEWARD_CONFIG_TYPES_LABEL_SET_HPP

#include <map>
#include <string>

namespace endiveward::config
{

/// Labels by key.
using label_set = std::map<std::string, std::string>;

} // namespace endiveward::config

#endif
