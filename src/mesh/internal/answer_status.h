#pragma once

namespace heatherdrift {

constexpr bool isSuccess(int status) { return status / 100 == 2; }

/// Whether callers take the status for a statement that the request has not run.
constexpr bool isRefusalStatus(int status)
{
    constexpr int requestTimeout = 408;
    constexpr int tooManyRequests = 429;
    constexpr int unavailable = 503;
    return status == requestTimeout || status == tooManyRequests || status == unavailable;
}

/// Whether an answer with the status is passed on only if the backend server itself has given it.
constexpr bool needsSignature(int status) { return isSuccess(status) || isRefusalStatus(status); }

} // namespace heatherdrift
