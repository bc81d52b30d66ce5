#include "settings/mesh_settings.h"
#include "settings/node_settings.h"

#include <algorithm>
#include <cerrno>
#include <cstdint>
#include <cstdio>
#include <memory>
#include <system_error>
#include <unistd.h>

namespace heatherdrift {

namespace {

    failure fileFailure(const std::string& path, const std::string& reason)
    {
        return notRun(error_code::invalid_settings, path + ": " + reason);
    }

    std::string describe(int systemError) { return std::generic_category().message(systemError); }

    result<std::string> readFile(const std::string& path)
    {
        const std::unique_ptr<std::FILE, int (*)(std::FILE*)> file(std::fopen(path.c_str(), "rbe"), &std::fclose);
        if (!file)
            return fileFailure(path, "cannot be opened: " + describe(errno));
        std::string text(maximumSettingsBytes + 1, '\0');
        text.resize(std::fread(text.data(), 1, text.size(), file.get()));
        if (std::ferror(file.get()) != 0)
            return fileFailure(path, "cannot be read: " + describe(errno));
        if (text.size() > maximumSettingsBytes)
            return fileFailure(path, "larger than " + std::to_string(maximumSettingsBytes) + " bytes");
        return text;
    }

    template <typename Settings> result<Settings> named(const std::string& path, result<Settings> settings)
    {
        if (settings.has_error())
            return fileFailure(path, settings.error().message);
        return settings;
    }

    result<node_settings> parseNodeText(std::string_view text)
    {
        BOOST_OUTCOME_TRY(document, parseJson(text, error_code::invalid_settings));
        return parseNodeSettings(document);
    }

    /// Unlimited if the system does not tell.
    std::size_t machineMemoryBytes()
    {
        const auto pages = sysconf(_SC_PHYS_PAGES);
        const auto pageBytes = sysconf(_SC_PAGESIZE);
        return pages > 0 && pageBytes > 0 ? static_cast<std::size_t>(pages) * static_cast<std::size_t>(pageBytes)
                                          : SIZE_MAX;
    }

} // namespace

result<node_settings> loadNodeSettings(const std::string& path)
{
    BOOST_OUTCOME_TRY(text, readFile(path));
    return named(path, parseNodeText(text));
}

result<mesh_settings> loadMeshSettings(const std::string& path)
{
    BOOST_OUTCOME_TRY(text, readFile(path));
    BOOST_OUTCOME_TRY(settings, named(path, parseMeshSettings(text)));
    settings.memoryBytes = std::min(settings.memoryBytes, machineMemoryBytes());
    return settings;
}

} // namespace heatherdrift
