#ifndef ENDIVEWARD_TEST_SUPPORT_TEMP_FOLDER_HPP
#define ENDIVEWARD_TEST_SUPPORT_TEMP_FOLDER_HPP

#include <filesystem>
#include <string>

namespace endiveward::test_support
{

/// A new folder that is removed with the object, or kept if the environment
/// variable ENDIVEWARD_KEEP_LOGS is set.
class temp_folder
{
public:
    temp_folder();
    ~temp_folder();
    temp_folder(temp_folder const&) = delete;
    temp_folder& operator=(temp_folder const&) = delete;

    std::filesystem::path const& path() const { return path_; }
    /// Writes a file that only its owner can read and gives its path.
    std::string write(std::string const& name, std::string const& text) const;

private:
    std::filesystem::path path_;
};

} // namespace endiveward::test_support

#endif
