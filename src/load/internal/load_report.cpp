#include "load/load_report.h"

#include <algorithm>
#include <cmath>
#include <sstream>

namespace heatherdrift {

namespace {

    double toMilliseconds(duration value) { return static_cast<double>(value.count()) / 1000.0; }

    std::int64_t secondOf(duration value) { return std::chrono::floor<std::chrono::seconds>(value).count(); }

    json quantiles(std::vector<duration> values)
    {
        std::ranges::sort(values);
        return { { "p50", toMilliseconds(quantile(values, 0.5)) }, { "p99", toMilliseconds(quantile(values, 0.99)) },
            { "p99_9", toMilliseconds(quantile(values, 0.999)) }, { "max", toMilliseconds(quantile(values, 1)) } };
    }

} // namespace

duration quantile(const std::vector<duration>& sorted, double share)
{
    if (sorted.empty())
        return {};
    const auto rank = static_cast<std::size_t>(std::ceil(share * static_cast<double>(sorted.size())));
    return sorted[std::clamp<std::size_t>(rank, 1, sorted.size()) - 1];
}

void kind_report::add(const request_outcome& how)
{
    auto& second = m_seconds[secondOf(how.intended)];
    ++m_requests;
    ++second.sent;
    m_cut += how.isCut;
    m_resends += static_cast<std::uint64_t>(how.resends);
    m_tokens += how.hasToken;
    ++m_verdicts[std::string(toString(how.outcome))];
    second.notRun += how.outcome == verdict::not_run;
    second.mayHaveRun += how.outcome == verdict::may_have_run;
    if (!how.error.empty())
        ++m_errors[how.error];
    if (how.finding != answer_finding::right)
        ++m_findings[std::string(toString(how.finding))];
    if (how.isAnswered) {
        ++second.answered;
        second.latencies.push_back(how.latency);
        ++m_seconds[secondOf(how.intended + how.latency)].completed;
        m_latencies.push_back(how.latency);
    }
    addToKey(how);
}

void kind_report::addToKey(const request_outcome& how)
{
    if (how.key.empty())
        return;
    auto& times = m_keys[how.key];
    if (!how.isAnswered) {
        ++times.failures;
        return;
    }
    const auto answeredAt = how.intended + how.latency;
    if (times.answers++ > 0 && answeredAt - times.lastAnswer > times.longestGap) {
        times.longestGap = answeredAt - times.lastAnswer;
        times.gapStart = times.lastAnswer;
    }
    times.lastAnswer = std::max(times.lastAnswer, answeredAt);
}

json kind_report::summary(duration length) const
{
    const double seconds = std::chrono::duration<double>(length).count();
    json value {
        { "requests", m_requests },
        { "answered", m_latencies.size() },
        { "goodput_per_s", static_cast<double>(m_latencies.size()) / seconds },
        { "verdicts", m_verdicts },
        { "errors", m_errors },
        { "bad_answers", m_findings },
        { "cut", m_cut },
        { "latency_ms", quantiles(m_latencies) },
    };
    if (m_tokens > 0)
        value["once"] = { { "tokens", m_tokens }, { "resends", m_resends } };
    return value;
}

json kind_report::seconds() const
{
    json rows = json::array();
    for (const auto& [number, counts] : m_seconds) {
        rows.push_back({ { "second", number }, { "sent", counts.sent }, { "answered", counts.answered },
            { "completed", counts.completed }, { "not_run", counts.notRun }, { "may_have_run", counts.mayHaveRun },
            { "latency_ms", quantiles(counts.latencies) } });
    }
    return rows;
}

json kind_report::gaps() const
{
    json value = json::object();
    for (const auto& [key, times] : m_keys) {
        value[key] = { { "longest_gap_ms", toMilliseconds(times.longestGap) },
            { "gap_start_ms", toMilliseconds(times.gapStart) }, { "answers", times.answers },
            { "failures", times.failures } };
    }
    return value;
}

std::uint64_t kind_report::badAnswers() const
{
    std::uint64_t sum = 0;
    for (const auto& [name, count] : m_findings)
        sum += count;
    return sum;
}

std::uint64_t kind_report::errorCount(const std::string& name) const
{
    const auto found = m_errors.find(name);
    return found == m_errors.end() ? 0 : found->second;
}

std::string toCsv(const load_report& report)
{
    std::ostringstream text;
    text << "second,kind,sent,answered,completed,not_run,may_have_run,p50_ms,p99_ms,p99_9_ms,max_ms\n";
    for (const auto& [name, kind] : report) {
        for (const auto& row : kind.seconds()) {
            const auto& latency = row["latency_ms"];
            text << row["second"] << ',' << name << ',' << row["sent"] << ',' << row["answered"] << ','
                 << row["completed"] << ',' << row["not_run"] << ',' << row["may_have_run"] << ',' << latency["p50"]
                 << ',' << latency["p99"] << ',' << latency["p99_9"] << ',' << latency["max"] << '\n';
        }
    }
    return text.str();
}

} // namespace heatherdrift
