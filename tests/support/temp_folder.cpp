#include "support/temp_folder.hpp"

#include <cstdlib>
#include <fstream>
#include <system_error>

namespace endiveward::test_support
{

namespace fs = std::filesystem;

temp_folder::temp_folder()
{
    std::string name =
        (fs::temp_directory_path() / "endiveward-XXXXXX").string();
    if (::mkdtemp(name.data()) == nullptr)
        throw std::system_error(errno, std::generic_category(), name);
    path_ = name;
}

temp_folder::~temp_folder()
{
    if (std::getenv("ENDIVEWARD_KEEP_LOGS") != nullptr)
        return;
    std::error_code ec;
    fs::remove_all(path_, ec);
}

std::string temp_folder::write(std::string const& name,
                               std::string const& text) const
{
    auto const file = path_ / name;
    std::ofstream(file) << text;
    fs::permissions(file, fs::perms::owner_read | fs::perms::owner_write);
    return file.string();
}

} // namespace endiveward::test_support
