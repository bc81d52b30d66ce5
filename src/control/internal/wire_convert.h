#pragma once

#include "lease/lease_messages.h"
#include "messages/generated/control_types.h"
#include "store/table_store.h"

namespace heatherdrift {

wire::InstanceRef toWire(const instance_ref&);
instance_ref fromWire(const wire::InstanceRef&);

wire::Message toMessage(const lease_renewal&, const wire::Digest&);
wire::Message toMessage(const lease_grant&, const wire::Digest&);
wire::Message toMessage(const lease_refusal&, const wire::Digest&);
wire::Message toMessage(const promise_request&);
wire::Message toMessage(const lease_promise&);
wire::Message toMessage(const promise_refusal&);
wire::Message toMessage(const silence_inquiry&);
wire::Message toMessage(const silence_report&);

lease_renewal fromWire(const wire::Renewal&);
lease_grant fromWire(const wire::Grant&);
lease_refusal fromWire(const wire::Refusal&);
promise_request fromWire(const wire::PromiseRequest&);
lease_promise fromWire(const wire::Promise&);
promise_refusal fromWire(const wire::PromiseRefusal&);
silence_inquiry fromWire(const wire::SilenceInquiry&);
silence_report fromWire(const wire::SilenceReport&);

wire::RowVersion toWire(const row_key&, row_version);
wire::Row toWire(const stored_row&);
row_key keyOf(const wire::RowVersion&);
stored_row fromWire(const wire::Row&);

} // namespace heatherdrift
