#include "base/failure.h"

#include "base/enum_names.h"

#include <utility>

namespace heatherdrift {

namespace {

    constexpr name_table<verdict, 3> verdictNames { {
        { verdict::not_run, "not_run" },
        { verdict::may_have_run, "may_have_run" },
        { verdict::ran, "ran" },
    } };

    constexpr name_table<error_code, 26> errorNames { {
        { error_code::bad_request, "bad_request" },
        { error_code::cancelled, "cancelled" },
        { error_code::conflict, "conflict" },
        { error_code::connection_failed, "connection_failed" },
        { error_code::connection_lost, "connection_lost" },
        { error_code::connection_refused, "connection_refused" },
        { error_code::deadline_exceeded, "deadline_exceeded" },
        { error_code::draining, "draining" },
        { error_code::internal, "internal" },
        { error_code::invalid_configuration, "invalid_configuration" },
        { error_code::invalid_settings, "invalid_settings" },
        { error_code::lease_expired, "lease_expired" },
        { error_code::no_owner, "no_owner" },
        { error_code::no_selector, "no_selector" },
        { error_code::not_found, "not_found" },
        { error_code::not_owner, "not_owner" },
        { error_code::overloaded, "overloaded" },
        { error_code::quarantined, "quarantined" },
        { error_code::refused_by_backend, "refused_by_backend" },
        { error_code::store_restored, "store_restored" },
        { error_code::store_unavailable, "store_unavailable" },
        { error_code::token_required, "token_required" },
        { error_code::token_spent, "token_spent" },
        { error_code::token_stale, "token_stale" },
        { error_code::too_large, "too_large" },
        { error_code::unreachable, "unreachable" },
    } };

} // namespace

std::string_view toString(verdict value) { return nameOf(verdictNames, value); }

std::optional<verdict> parseVerdict(std::string_view name) { return valueOf(verdictNames, name); }

std::string_view toString(error_code value) { return nameOf(errorNames, value); }

std::optional<error_code> parseErrorCode(std::string_view name) { return valueOf(errorNames, name); }

failure notRun(error_code code, std::string message) { return { verdict::not_run, code, std::move(message) }; }

failure mayHaveRun(error_code code, std::string message) { return { verdict::may_have_run, code, std::move(message) }; }

} // namespace heatherdrift
