#include "store/page_row.h"

#include "http/uri.h"
#include "store/internal/row_json.h"

#include <algorithm>
#include <map>
#include <set>

namespace heatherdrift {

namespace {

    constexpr std::size_t maximumKeyBytes = 4096;

    /// Numbers the instances of a page from 1 on, in the order of their first mention; 0 stands for none.
    class instance_numbering {
    public:
        std::size_t numberOf(const instance_ref& instance)
        {
            if (instance.id.empty())
                return 0;
            const auto [found, isNew] = m_numbers.try_emplace(instance, m_numbers.size() + 1);
            if (isNew)
                m_list.push_back({ instance.id, instance.number });
            return found->second;
        }

        const json& list() const { return m_list; }

    private:
        std::map<instance_ref, std::size_t> m_numbers;
        json m_list = json::array();
    };

    bool isEpoch(const json& value)
    {
        return value.is_number_unsigned() && value.get<std::uint64_t>() <= static_cast<std::uint64_t>(INT64_MAX);
    }

    /// Parses [owner, epoch, previous owner], where the owners are numbers of instances.
    result<page_entry> parseEntry(
        const json& value, const std::vector<instance_ref>& instances, const std::string& path)
    {
        if (!value.is_array() || value.size() != 3 || !std::ranges::all_of(value, &isEpoch))
            return unreadable(path, "expected three integers");
        const auto owner = value[0].get<std::uint64_t>();
        const auto previousOwner = value[2].get<std::uint64_t>();
        if (owner >= instances.size() || previousOwner >= instances.size())
            return unreadable(path, "no such instance");
        page_entry entry { instances[owner], value[1].get<epoch>(), instances[previousOwner] };
        if (entry.number == 0 && entry != page_entry {})
            return unreadable(path, "an owner without an epoch");
        return entry;
    }

    result<std::string> parseHotKey(const json& value, const std::string& path)
    {
        const auto key = value.is_string() ? percentDecode(value.get_ref<const std::string&>()) : std::nullopt;
        if (!key || key->size() > maximumKeyBytes)
            return unreadable(path, "expected a percent-encoded key");
        return *key;
    }

    result<void> checkHotKeys(const page_row& row)
    {
        const bool isHotPage = row.number == hotPageNumber;
        if (row.hotKeys.size() != (isHotPage ? row.entries.size() : 0) || row.hotKeys.size() > maximumHotKeys)
            return unreadable("hot_keys", "expected one key per entry of the hot page");
        std::set<std::string> known;
        for (const auto& key : row.hotKeys) {
            if (!key.empty() && !known.insert(key).second)
                return unreadable("hot_keys", "a key is named twice");
        }
        return outcome::success();
    }

    /// Parses [key, epoch of its hot partition].
    result<isolated_key> parseIsolatedKey(const json& value, const std::string& path)
    {
        if (!value.is_array() || value.size() != 2 || !isEpoch(value[1]) || value[1] == 0)
            return unreadable(path, "expected a key and an epoch");
        BOOST_OUTCOME_TRY(key, parseHotKey(value[0], path));
        return isolated_key { key, value[1].get<epoch>() };
    }

    result<void> addIsolatedKey(page_row& row, const json& value, const std::string& path)
    {
        // A pool has no more hot partitions for the keys of all its pages together.
        if (row.isolatedKeys.size() == maximumHotKeys)
            return unreadable(path, "too many keys");
        BOOST_OUTCOME_TRY(isolated, parseIsolatedKey(value, path));
        if (std::ranges::count(row.isolatedKeys, isolated.key, &isolated_key::key) != 0)
            return unreadable(path, "named twice");
        row.isolatedKeys.push_back(isolated);
        return outcome::success();
    }

    /// Fills the entries from the instances, so it must be read after them.
    void readEntries(json_reader& reader, page_row& row)
    {
        std::vector<instance_ref> instances(1);
        std::set<instance_ref> known;
        reader.readArray("instances", [&](const json& value, const std::string& path) -> result<void> {
            BOOST_OUTCOME_TRY(instance, parseInstance(value, path));
            if (!known.insert(instance).second)
                return unreadable(path, "named twice");
            instances.push_back(instance);
            return outcome::success();
        });
        reader.readArray("entries", [&](const json& value, const std::string& path) -> result<void> {
            if (row.entries.size() == partitionsPerPage)
                return unreadable(path, "too many entries");
            BOOST_OUTCOME_TRY(entry, parseEntry(value, instances, path));
            row.entries.push_back(entry);
            return outcome::success();
        });
    }

} // namespace

row_key pageKey(const std::string& pool, std::uint32_t number)
{
    return { pageTable, pool + "/" + std::to_string(number) };
}

std::string toJsonText(const page_row& row)
{
    instance_numbering instances;
    auto entries = json::array();
    for (const auto& entry : row.entries) {
        const auto owner = instances.numberOf(entry.owner);
        entries.push_back({ owner, entry.number, instances.numberOf(entry.previousOwner) });
    }
    // Keys are any bytes, and JSON text must be UTF-8.
    auto hotKeys = json::array();
    for (const auto& key : row.hotKeys)
        hotKeys.push_back(percentEncode(key));
    auto isolatedKeys = json::array();
    for (const auto& isolated : row.isolatedKeys)
        isolatedKeys.push_back({ percentEncode(isolated.key), isolated.number });
    const json document {
        { "pool", row.pool },
        { "page", row.number },
        { "isolated_keys", std::move(isolatedKeys) },
        { "instances", instances.list() },
        { "entries", std::move(entries) },
        { "hot_keys", std::move(hotKeys) },
        { "operation_id", row.operationId },
    };
    return document.dump(-1, ' ', false, json::error_handler_t::replace);
}

result<page_row> parsePageRow(std::string_view text)
{
    BOOST_OUTCOME_TRY(document, parseJson(text, error_code::internal));
    json_reader reader(document, "", error_code::internal);
    page_row row;
    readName(reader, "pool", row.pool);
    reader.readInteger("page", row.number, { 0, hotPageNumber });
    readEntries(reader, row);
    reader.readArray("hot_keys", [&](const json& value, const std::string& path) -> result<void> {
        BOOST_OUTCOME_TRY(key, parseHotKey(value, path));
        row.hotKeys.push_back(key);
        return outcome::success();
    });
    reader.readArray(
        "isolated_keys", [&](const json& value, const std::string& path) { return addIsolatedKey(row, value, path); });
    reader.readString("operation_id", row.operationId);
    BOOST_OUTCOME_TRY(reader.finish());
    BOOST_OUTCOME_TRY(checkHotKeys(row));
    return row;
}

} // namespace heatherdrift
