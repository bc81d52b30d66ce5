#pragma once

#include "base/clock.h"
#include "base/failure.h"
#include "base/identifiers.h"
#include "http/http_message.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace heatherdrift {

/// Parsed token of a once call.
struct once_token {
    instance_ref issuer;
    std::uint64_t sequence = 0;
    time_point issued; ///< On the issuer's clock.
    std::uint64_t check = 0;

    bool operator==(const once_token&) const = default;
};

std::string toString(const once_token&);
/// Fails with bad_request, not_run.
result<once_token> parseToken(std::string_view);

/// State of the run that a token permits.
enum class run_state {
    claimed, ///< Not sent to a backend server yet.
    started,
    answered, ///< The backend server's complete response was received.
    unknown, ///< Started, but the response was lost.
};

struct once_limits {
    duration tokenLife = std::chrono::minutes(5);
    std::size_t tokens = 100000; ///< Maximum number of recorded tokens; at this number no new ones are issued.
    std::size_t answerBytes = 4096; ///< Maximum body size of a response that is kept for resends.
    std::size_t keptBytes = 4 << 20; ///< Maximum size of all kept responses together.
};

/// Result of a claim.
struct claim_answer {
    enum class kind {
        granted, ///< The claimant alone may run the request, once.
        repeated, ///< The token was claimed before; see `state` and `answer`.
        unknown, ///< The issuer is unreachable or no longer has a record of the token.
    };

    kind what = kind::unknown;
    std::string claimant; ///< Request id that holds the claim.
    run_state state = run_state::claimed;
    std::optional<http_response> answer;

    bool operator==(const claim_answer&) const = default;
};

/// Issues the tokens of once calls and records their runs. Only the issuer of a token grants its claim, and only to one
/// claimant, so a token is run at most once even if its key changes owner in between. Memory is bounded: claims of
/// tokens older than `tokenLife` are answered with `unknown`.
class once_ledger {
public:
    /// The secret seeds the check value that exposes guessed tokens and tokens of other processes. It is not
    /// cryptographic protection.
    once_ledger(instance_ref self, std::uint64_t secret, once_limits);

    /// Fails with `overloaded`, not_run, while too many tokens are recorded.
    result<std::string> issue(time_point now);

    bool isOwn(const once_token&) const;

    /// Claims a token of this process. A claimant may repeat its claim while it has not started. Fails with
    /// bad_request, not_run, if the token was never issued or was used for a request with another fingerprint.
    result<claim_answer> claim(
        const once_token&, std::uint64_t fingerprint, const std::string& claimant, time_point now);

    /// Records a claim that another process, the issuer, granted to a request of this process. Later claims of the
    /// token at this process return the state of that run.
    void addRemoteClaim(const once_token&, std::uint64_t fingerprint, const std::string& claimant, time_point now);
    /// Result of claiming a token recorded by addRemoteClaim(), none if it was not recorded. Fails like claim().
    result<std::optional<claim_answer>> findRemoteClaim(
        const once_token&, std::uint64_t fingerprint, const std::string& claimant);

    /// Called when the claimed run provably did not happen; a resend may claim the token again.
    void release(const once_token&);
    void setStarted(const once_token&);
    void setUnknown(const once_token&);
    void setAnswered(const once_token&, http_response);

    std::size_t size() const { return m_runs.size(); }

private:
    struct run {
        std::uint64_t fingerprint = 0;
        std::string claimant;
        run_state state = run_state::claimed;
        bool isReleased = false;
        std::optional<http_response> answer;
    };

    struct expiry {
        time_point when;
        std::string token;
    };

    std::uint64_t checkOf(const once_token&) const;
    result<claim_answer> claimExisting(run&, std::uint64_t fingerprint, const std::string& claimant);
    void insertRun(const std::string& token, run, time_point evictAt);
    void evictExpired(time_point now);
    run* find(const once_token&);

    instance_ref m_self;
    std::uint64_t m_secret;
    once_limits m_limits;
    std::uint64_t m_nextSequence = 1;
    std::size_t m_keptBytes = 0;
    std::unordered_map<std::string, run> m_runs;
    std::deque<expiry> m_expiries;
};

} // namespace heatherdrift
