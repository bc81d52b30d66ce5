#include "control/internal/wire_convert.h"

#include <algorithm>

namespace heatherdrift {

namespace {

    /// Thrift has no unsigned integers; the bit pattern is kept.
    std::int64_t toSigned(std::uint64_t value) { return static_cast<std::int64_t>(value); }

    std::uint64_t toUnsigned(std::int64_t value) { return static_cast<std::uint64_t>(value); }

    /// Clamps a negative duration from a faulty peer to zero.
    duration toDuration(std::int64_t microseconds) { return duration(std::max<std::int64_t>(microseconds, 0)); }

    refusal_reason fromWire(wire::RefusalReason::type reason)
    {
        switch (reason) {
        case wire::RefusalReason::FENCED:
            return refusal_reason::fenced;
        case wire::RefusalReason::SUPERSEDED:
            return refusal_reason::superseded;
        case wire::RefusalReason::STALE_CONFIGURATION:
            return refusal_reason::stale_configuration;
        case wire::RefusalReason::WRONG_WITNESS:
            return refusal_reason::wrong_witness;
        }
        // An unknown reason from a newer node must not end the lease permanently.
        return refusal_reason::wrong_witness;
    }

    wire::RefusalReason::type toWire(refusal_reason reason)
    {
        switch (reason) {
        case refusal_reason::fenced:
            return wire::RefusalReason::FENCED;
        case refusal_reason::superseded:
            return wire::RefusalReason::SUPERSEDED;
        case refusal_reason::stale_configuration:
            return wire::RefusalReason::STALE_CONFIGURATION;
        case refusal_reason::wrong_witness:
            return wire::RefusalReason::WRONG_WITNESS;
        }
        return wire::RefusalReason::WRONG_WITNESS;
    }

    /// Fills the fields that all messages about a holder and a witness share.
    template <typename Wire, typename Message> Wire withParties(const Message& message)
    {
        Wire value;
        value.__set_holder(toWire(message.holder));
        value.__set_witness(toWire(message.witness));
        return value;
    }

} // namespace

wire::InstanceRef toWire(const instance_ref& value)
{
    wire::InstanceRef converted;
    converted.__set_id(value.id);
    converted.__set_incarnation(toSigned(value.number));
    return converted;
}

instance_ref fromWire(const wire::InstanceRef& value) { return { value.id, toUnsigned(value.incarnation) }; }

wire::Message toMessage(const lease_renewal& renewal, const wire::Digest& digest)
{
    auto value = withParties<wire::Renewal>(renewal);
    value.__set_sequence(toSigned(renewal.sequence));
    value.__set_digest(digest);
    wire::Message message;
    message.__set_renewal(value);
    return message;
}

wire::Message toMessage(const lease_grant& grant, const wire::Digest& digest)
{
    auto value = withParties<wire::Grant>(grant);
    value.__set_sequence(toSigned(grant.sequence));
    value.__set_digest(digest);
    wire::Message message;
    message.__set_grant(value);
    return message;
}

wire::Message toMessage(const lease_refusal& refusal, const wire::Digest& digest)
{
    auto value = withParties<wire::Refusal>(refusal);
    value.__set_sequence(toSigned(refusal.sequence));
    value.__set_reason(toWire(refusal.reason));
    value.__set_digest(digest);
    wire::Message message;
    message.__set_refusal(value);
    return message;
}

wire::Message toMessage(const promise_request& request)
{
    wire::Message message;
    message.__set_promiseRequest(withParties<wire::PromiseRequest>(request));
    return message;
}

wire::Message toMessage(const lease_promise& promise)
{
    auto value = withParties<wire::Promise>(promise);
    value.__set_remainingMicroseconds(promise.remaining.count());
    wire::Message message;
    message.__set_promise(value);
    return message;
}

wire::Message toMessage(const promise_refusal& refusal)
{
    wire::Message message;
    message.__set_promiseRefusal(withParties<wire::PromiseRefusal>(refusal));
    return message;
}

wire::Message toMessage(const silence_inquiry& inquiry)
{
    wire::Message message;
    message.__set_silenceInquiry(withParties<wire::SilenceInquiry>(inquiry));
    return message;
}

wire::Message toMessage(const silence_report& report)
{
    auto value = withParties<wire::SilenceReport>(report);
    value.__set_silentMicroseconds(report.silentFor.count());
    wire::Message message;
    message.__set_silenceReport(value);
    return message;
}

lease_renewal fromWire(const wire::Renewal& value)
{
    return { fromWire(value.holder), fromWire(value.witness), toUnsigned(value.sequence),
        value.digest.configurationVersion };
}

lease_grant fromWire(const wire::Grant& value)
{
    return { fromWire(value.holder), fromWire(value.witness), toUnsigned(value.sequence) };
}

lease_refusal fromWire(const wire::Refusal& value)
{
    return { fromWire(value.holder), fromWire(value.witness), toUnsigned(value.sequence), fromWire(value.reason) };
}

promise_request fromWire(const wire::PromiseRequest& value)
{
    return { fromWire(value.holder), fromWire(value.witness) };
}

lease_promise fromWire(const wire::Promise& value)
{
    return { fromWire(value.holder), fromWire(value.witness), toDuration(value.remainingMicroseconds) };
}

promise_refusal fromWire(const wire::PromiseRefusal& value)
{
    return { fromWire(value.holder), fromWire(value.witness) };
}

silence_inquiry fromWire(const wire::SilenceInquiry& value)
{
    return { fromWire(value.holder), fromWire(value.witness) };
}

silence_report fromWire(const wire::SilenceReport& value)
{
    return { fromWire(value.holder), fromWire(value.witness), toDuration(value.silentMicroseconds) };
}

wire::RowVersion toWire(const row_key& key, row_version version)
{
    wire::RowVersion value;
    value.__set_table(key.table);
    value.__set_key(key.key);
    value.__set_version(version);
    return value;
}

wire::Row toWire(const stored_row& row)
{
    wire::Row value;
    value.__set_table(row.key.table);
    value.__set_key(row.key.key);
    value.__set_version(row.version);
    value.__set_value(row.value);
    return value;
}

row_key keyOf(const wire::RowVersion& value) { return { value.table, value.key }; }

stored_row fromWire(const wire::Row& value) { return { { value.table, value.key }, value.version, value.value }; }

} // namespace heatherdrift
