#include "store/object_store.h"

#include <cstdio>
#include <xxhash.h>

namespace heatherdrift {

namespace {

    std::string versionName(const std::string& name, const std::string& hash) { return name + "/" + hash; }

} // namespace

std::string contentHash(std::string_view content)
{
    const auto hash = XXH3_128bits(content.data(), content.size());
    char text[33] {};
    std::snprintf(text, sizeof(text), "%016llx%016llx", static_cast<unsigned long long>(hash.high64),
        static_cast<unsigned long long>(hash.low64));
    return text;
}

void putVersion(object_store& store, const std::string& name, std::string content, time_point deadline,
    std::function<void(result<std::string>)> done)
{
    auto hash = contentHash(content);
    auto target = versionName(name, hash);
    store.put(std::move(target), std::move(content), deadline,
        [hash = std::move(hash), done = std::move(done)](const result<void>& outcome) {
            if (outcome.has_error())
                done(outcome.error());
            else
                done(hash);
        });
}

void getVersion(object_store& store, const std::string& name, const std::string& hash, time_point deadline,
    std::function<void(result<std::optional<std::string>>)> done)
{
    store.get(versionName(name, hash), deadline,
        [name, hash, done = std::move(done)](result<std::optional<std::string>> outcome) {
            if (outcome.has_value() && outcome.value() && contentHash(*outcome.value()) != hash)
                done(notRun(error_code::internal, "object " + versionName(name, hash) + " is damaged"));
            else
                done(std::move(outcome));
        });
}

} // namespace heatherdrift
