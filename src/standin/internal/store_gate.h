#pragma once

#include "standin/internal/restartable_listener.h"
#include "standin/internal/store_faults.h"
#include "standin/store_service.h"

#include <random>

namespace heatherdrift {

/// One request to a store, parsed.
struct store_operation {
    bool isWrite = false;
    double cost = 1; ///< Against the limit of reads or written rows.
    std::vector<std::string> tables;
    std::function<http_response()> run;
};

/// Refills at a fixed rate and holds a tenth of a second's worth.
class rate_limiter {
public:
    explicit rate_limiter(double perSecond);

    /// Whether there was anything left; the cost may exceed it.
    bool take(double cost, time_point now);

private:
    double m_perSecond;
    double m_most;
    double m_left;
    time_point m_last;
};

/// Stands between the network and a store: limits the rates and applies the faults.
class store_gate : public store_service {
public:
    /// Fails with not_found or bad_request, which are answered with 404 and 400.
    using operation_parser = std::function<result<store_operation>(const http_request&)>;

    store_gate(event_base*, const store_service_settings&, std::size_t bodyBytes, operation_parser);

    result<void> listen(const store_service_settings&);
    endpoint address() const override { return m_service.address(); }
    endpoint controlAddress() const override { return m_control.address(); }

private:
    void handle(const http_exchange_ptr&);
    void handleControl(const http_exchange_ptr&);
    void setFaults(store_faults);
    void serve(const http_exchange_ptr&);
    void run(const http_exchange_ptr&, const store_operation&, duration answerDelay, bool isLost);
    store_fault_rule& ruleFor(const store_operation&);
    bool takeLoss(store_fault_rule&);
    bool chance(double share);
    json stats() const;

    operation_parser m_parse;
    rate_limiter m_reads;
    rate_limiter m_writes;
    std::mt19937_64 m_random;
    store_faults m_faults;
    store_fault_rule m_noFault;
    std::vector<http_exchange_ptr> m_held; ///< Arrived while the service hangs.
    std::int64_t m_readCount = 0;
    std::int64_t m_writeCount = 0;
    std::int64_t m_conflictCount = 0;
    std::int64_t m_rejectedCount = 0;
    std::int64_t m_lostCount = 0;
    restartable_listener m_service;
    restartable_listener m_control;
    delayed_calls m_later;
};

} // namespace heatherdrift
