#include "standin/internal/backend_faults.h"

namespace heatherdrift {

namespace {

    using presence = json_reader::presence;

    constexpr integer_range delayRange { 0, 3600 * 1000 };

    void readHealth(json_reader& reader, health_report& target)
    {
        std::string name = "honest";
        reader.readString("health", name, presence::optional);
        if (name == "ok")
            target = health_report::ok;
        else if (name == "failing")
            target = health_report::failing;
        else if (name != "honest")
            reader.reject("health", "expected honest, ok or failing");
    }

    result<backend_report> parseLoad(const json& value, const std::string& path)
    {
        json_reader reader(value, path, error_code::bad_request);
        backend_report load;
        reader.readInteger("running", load.running, { 0, 1000000 });
        reader.readInteger("queued", load.queued, { 0, 1000000 });
        BOOST_OUTCOME_TRY(reader.finish());
        return load;
    }

} // namespace

result<backend_faults> parseBackendFaults(std::string_view text)
{
    BOOST_OUTCOME_TRY(document, parseJson(text, error_code::bad_request));
    json_reader reader(document, "", error_code::bad_request);
    backend_faults faults;
    reader.readBool("freeze", faults.isFrozen, presence::optional);
    reader.readBool("drain", faults.isDraining, presence::optional);
    reader.readMilliseconds("slow_ms", faults.slow, delayRange, presence::optional);
    reader.readMilliseconds("down_ms", faults.down, delayRange, presence::optional);
    if (document.is_object() && document.contains("crash_word"))
        reader.readString("crash_word", faults.crashWord.emplace());
    reader.readMilliseconds("crash_down_ms", faults.crashDown, delayRange, presence::optional);
    readHealth(reader, faults.health);
    const integer_range lagRange { 0, std::chrono::duration_cast<std::chrono::milliseconds>(maximumReportLag).count() };
    reader.readMilliseconds("report_lag_ms", faults.reportLag, lagRange, presence::optional);
    const auto readLoad = [&](const json& value, const std::string& path) -> result<void> {
        BOOST_OUTCOME_TRY(load, parseLoad(value, path));
        faults.load = load;
        return outcome::success();
    };
    reader.readValue("load", readLoad, presence::optional);
    BOOST_OUTCOME_TRY(reader.finish());
    return faults;
}

} // namespace heatherdrift
