#include "routing/once_ledger.h"

#include "base/hash.h"

#include <charconv>
#include <vector>

namespace heatherdrift {

namespace {

    constexpr char separator = '~';
    constexpr std::size_t tokenParts = 5;

    std::vector<std::string_view> split(std::string_view text)
    {
        std::vector<std::string_view> parts;
        for (std::size_t start = 0;;) {
            const auto end = text.find(separator, start);
            parts.push_back(text.substr(start, end == std::string_view::npos ? end : end - start));
            if (end == std::string_view::npos)
                return parts;
            start = end + 1;
        }
    }

    template <typename Integer> bool parseNumber(std::string_view text, Integer& value)
    {
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
        return error == std::errc() && end == text.data() + text.size();
    }

    std::size_t sizeOf(const std::optional<http_response>& answer) { return answer ? answer->body.size() : 0; }

} // namespace

std::string toString(const once_token& token)
{
    return token.issuer.id + separator + std::to_string(token.issuer.number) + separator
        + std::to_string(token.sequence) + separator + std::to_string(token.issued.time_since_epoch().count())
        + separator + std::to_string(token.check);
}

result<once_token> parseToken(std::string_view text)
{
    const auto parts = split(text);
    once_token token;
    duration::rep issued = 0;
    if (parts.size() != tokenParts || parts[0].empty() || !parseNumber(parts[1], token.issuer.number)
        || !parseNumber(parts[2], token.sequence) || !parseNumber(parts[3], issued)
        || !parseNumber(parts[4], token.check))
        return notRun(error_code::bad_request, "malformed heatherdrift-token");
    token.issuer.id = parts[0];
    token.issued = time_point(duration(issued));
    return token;
}

once_ledger::once_ledger(instance_ref self, std::uint64_t secret, once_limits limits)
    : m_self(std::move(self))
    , m_secret(secret)
    , m_limits(limits)
{
}

result<std::string> once_ledger::issue(time_point now)
{
    evictExpired(now);
    if (m_runs.size() >= m_limits.tokens)
        return notRun(error_code::overloaded, "too many tokens are in use");
    once_token token { m_self, m_nextSequence++, now, 0 };
    token.check = checkOf(token);
    return toString(token);
}

bool once_ledger::isOwn(const once_token& token) const { return token.issuer == m_self; }

result<claim_answer> once_ledger::claim(
    const once_token& token, std::uint64_t fingerprint, const std::string& claimant, time_point now)
{
    evictExpired(now);
    if (!isOwn(token) || token.check != checkOf(token) || token.sequence >= m_nextSequence)
        return notRun(error_code::bad_request, "this process did not issue the token");
    if (auto* existing = find(token))
        return claimExisting(*existing, fingerprint, claimant);
    // Runs are evicted only after the token's life, so a younger token without a run was never claimed.
    if (now >= token.issued + m_limits.tokenLife)
        return claim_answer {};
    if (m_runs.size() >= m_limits.tokens)
        return notRun(error_code::overloaded, "too many tokens are in use");
    insertRun(
        toString(token), { fingerprint, claimant, run_state::claimed, false, {} }, token.issued + m_limits.tokenLife);
    return claim_answer { claim_answer::kind::granted, claimant, run_state::claimed, {} };
}

void once_ledger::addRemoteClaim(
    const once_token& token, std::uint64_t fingerprint, const std::string& claimant, time_point now)
{
    evictExpired(now);
    insertRun(toString(token), { fingerprint, claimant, run_state::claimed, false, {} }, now + m_limits.tokenLife);
}

result<std::optional<claim_answer>> once_ledger::findRemoteClaim(
    const once_token& token, std::uint64_t fingerprint, const std::string& claimant)
{
    auto* existing = find(token);
    if (!existing)
        return std::optional<claim_answer>();
    BOOST_OUTCOME_TRY(answer, claimExisting(*existing, fingerprint, claimant));
    return std::optional<claim_answer>(std::move(answer));
}

result<claim_answer> once_ledger::claimExisting(run& existing, std::uint64_t fingerprint, const std::string& claimant)
{
    // The kept response belongs to the first request and must not be returned to a different one.
    if (existing.fingerprint != fingerprint)
        return notRun(error_code::bad_request, "the token was used for a different request");
    if (existing.isReleased || (existing.claimant == claimant && existing.state == run_state::claimed)) {
        existing.isReleased = false;
        existing.claimant = claimant;
        return claim_answer { claim_answer::kind::granted, claimant, run_state::claimed, {} };
    }
    return claim_answer { claim_answer::kind::repeated, existing.claimant, existing.state, existing.answer };
}

void once_ledger::release(const once_token& token)
{
    auto* existing = find(token);
    if (!existing || existing->state == run_state::answered || existing->state == run_state::unknown)
        return;
    existing->state = run_state::claimed;
    existing->isReleased = true;
}

void once_ledger::setStarted(const once_token& token)
{
    if (auto* existing = find(token)) {
        existing->state = run_state::started;
        existing->isReleased = false;
    }
}

void once_ledger::setUnknown(const once_token& token)
{
    if (auto* existing = find(token))
        existing->state = run_state::unknown;
}

void once_ledger::setAnswered(const once_token& token, http_response answer)
{
    auto* existing = find(token);
    if (!existing)
        return;
    existing->state = run_state::answered;
    if (answer.body.size() > m_limits.answerBytes || m_keptBytes + answer.body.size() > m_limits.keptBytes)
        return;
    m_keptBytes += answer.body.size();
    existing->answer = std::move(answer);
}

std::uint64_t once_ledger::checkOf(const once_token& token) const
{
    once_token unchecked = token;
    unchecked.check = 0;
    return hashBytes(toString(unchecked), m_secret);
}

void once_ledger::insertRun(const std::string& token, run entry, time_point evictAt)
{
    m_runs.insert_or_assign(token, std::move(entry));
    m_expiries.push_back({ evictAt, token });
}

void once_ledger::evictExpired(time_point now)
{
    // Entries are in the order of their claims, not of expiry, so one may be kept longer than its life but never
    // shorter.
    while (!m_expiries.empty() && m_expiries.front().when <= now) {
        const auto found = m_runs.find(m_expiries.front().token);
        if (found != m_runs.end()) {
            m_keptBytes -= sizeOf(found->second.answer);
            m_runs.erase(found);
        }
        m_expiries.pop_front();
    }
}

once_ledger::run* once_ledger::find(const once_token& token)
{
    const auto found = m_runs.find(toString(token));
    return found == m_runs.end() ? nullptr : &found->second;
}

} // namespace heatherdrift
