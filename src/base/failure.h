#pragma once

#include "base/verdict.h"

#include <boost/outcome/result.hpp>
#include <boost/outcome/try.hpp>
#include <string>
#include <string_view>

namespace heatherdrift {

/// Reason of a failure; the names returned by toString() are part of the public interface.
enum class error_code {
    bad_request,
    cancelled,
    conflict,
    connection_failed,
    connection_lost,
    connection_refused, ///< Nothing listens at the address.
    deadline_exceeded,
    draining,
    internal,
    invalid_configuration,
    invalid_settings,
    lease_expired,
    no_owner,
    no_selector,
    not_found,
    not_owner,
    overloaded,
    quarantined,
    refused_by_backend,
    store_restored, ///< The store came back from an older copy.
    store_unavailable,
    token_required,
    token_spent,
    token_stale,
    too_large,
    unreachable, ///< The other machine acknowledges nothing.
};

std::string_view toString(error_code);
std::optional<error_code> parseErrorCode(std::string_view);

/// An error with its verdict: may the request that failed have run?
struct failure {
    verdict outcome = verdict::not_run;
    error_code code = error_code::internal;
    std::string message;

    bool operator==(const failure&) const = default;
};

namespace outcome = BOOST_OUTCOME_V2_NAMESPACE;

/// A value or a failure. Reading the absent side terminates the process.
template <typename T> using result = outcome::basic_result<T, failure, outcome::policy::terminate>;

/// Failure with verdict not_run.
failure notRun(error_code, std::string message);
/// Failure with verdict may_have_run.
failure mayHaveRun(error_code, std::string message);

} // namespace heatherdrift
