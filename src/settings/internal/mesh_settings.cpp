#include "settings/mesh_settings.h"

#include "base/json_reader.h"

namespace heatherdrift {

namespace {

    constexpr integer_range milliseconds { 1, 24 * 3600 * 1000 };
    constexpr integer_range memoryLimits { 32, 1 << 20 };
    constexpr std::size_t bytesPerMegabyte = 1u << 20;
    constexpr double bytesPerMegabit = 1e6 / 8;

    result<void> readListeners(const json& value, const std::string& path, mesh_settings& settings)
    {
        json_reader reader(value, path, error_code::invalid_settings);
        reader.readEndpoint("entry", settings.entry);
        reader.readEndpoint("forward", settings.forward);
        reader.readEndpoint("readiness", settings.readiness);
        reader.readEndpoint("announcements", settings.announcements);
        reader.readEndpoint("metrics", settings.metrics);
        return reader.finish();
    }

    result<void> readScheduling(const json& value, const std::string& path, scheduling_settings& settings)
    {
        constexpr double maxHedgeShare = 0.2;
        constexpr auto optional = json_reader::presence::optional;
        json_reader reader(value, path, error_code::invalid_settings);
        reader.readBool("rank_by_caller", settings.ranksByCaller, optional);
        reader.readBool("limit_calls", settings.limitsCalls, optional);
        reader.readBool("completion_time", settings.usesCompletionTime, optional);
        reader.readBool("return_times", settings.plansReturns, optional);
        reader.readNumber("hedge_share", settings.hedgeShare, 0, maxHedgeShare, optional);
        reader.readMilliseconds("evacuation_ms", settings.evacuationTime, { 0, milliseconds.most }, optional);
        return reader.finish();
    }

} // namespace

result<mesh_settings> parseMeshSettings(std::string_view text)
{
    BOOST_OUTCOME_TRY(document, parseJson(text, error_code::invalid_settings));
    mesh_settings settings;
    json_reader reader(document, "", error_code::invalid_settings);
    reader.readString("instance", settings.node);
    reader.readString("availability_zone", settings.zone);
    reader.readString("service", settings.service);
    reader.readEndpoint("backend_server", settings.backend);
    reader.readEndpoint("store", settings.store);
    reader.readValue(
        "listen", [&](const json& value, const std::string& path) { return readListeners(value, path, settings); });
    reader.readBool("first_start", settings.isFirstStart);
    reader.readMilliseconds("heartbeat_ms", settings.heartbeatInterval, milliseconds);
    reader.readMilliseconds("drain_ms", settings.drainTime, milliseconds);
    reader.readMilliseconds("longest_hold_ms", settings.longestHold, milliseconds);
    double stopSeconds = 0;
    reader.readNumber("stop_s", stopSeconds, 0.1, 3600);
    settings.stopTime = std::chrono::duration_cast<duration>(std::chrono::duration<double>(stopSeconds));
    reader.readNumber("retry_share", settings.retryShare, 0, 1);
    double linkMegabits = 0;
    reader.readNumber("link_mbps", linkMegabits, 0, 1e6);
    settings.linkBytesPerSecond = linkMegabits * bytesPerMegabit;
    std::int64_t memoryMegabytes = settings.memoryBytes / bytesPerMegabyte;
    reader.readInteger("memory_mb", memoryMegabytes, memoryLimits, json_reader::presence::optional);
    settings.memoryBytes = static_cast<std::size_t>(memoryMegabytes) * bytesPerMegabyte;
    reader.readInteger("log_lines", settings.logLines, { 1, 1000000 }, json_reader::presence::optional);
    reader.readValue(
        "scheduling",
        [&](const json& value, const std::string& path) { return readScheduling(value, path, settings.scheduling); },
        json_reader::presence::optional);
    BOOST_OUTCOME_TRY(reader.finish());
    return settings;
}

} // namespace heatherdrift
