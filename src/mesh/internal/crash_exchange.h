#pragma once

#include "admission/crash_suspects.h"
#include "base/event_handle.h"
#include "http/http_server.h"
#include "mesh/internal/mesh_directory.h"

#include <map>

namespace heatherdrift {

/// Crashes and cleared requests, as nodes tell them to each other.
struct crash_report {
    std::vector<backend_crash> crashes;
    /// Requests that a backend server has answered before the crashes of this report, or after all known ones if no
    /// crash of this report names them.
    std::vector<request_fingerprint> answered;

    bool operator==(const crash_report&) const = default;
};

std::string toJson(const crash_report&);
result<crash_report> parseCrashReport(std::string_view);

/// Tells the other nodes of the service which requests were at work when the backend server crashed, so that all of
/// them refuse a request that crashes each backend server.
class crash_exchange {
public:
    crash_exchange(event_base*, const mesh_settings&, mesh_directory&, crash_suspects&);

    /// The backend server beside this node has crashed.
    void onCrash(const backend_crash&);
    /// The backend server beside this node has answered a request.
    void onAnswer(request_fingerprint);
    /// The request is about to be sent to this backend server.
    void onRun(request_fingerprint, const std::string& life);
    /// Asks other nodes of the service for the crashes that this node has missed: before the start of this process, or
    /// while it was cut off.
    void askForMissed();
    /// Handles a report or question of another node.
    void handle(const http_exchange_ptr&);

    static constexpr const char* target = "/heatherdrift/crashes";

private:
    struct unsent_report {
        instance_id node;
        int attempts = 0;
        std::string body;
        std::vector<backend_crash> crashes;
        time_point completeAt = time_point::min(); ///< It has all crashes known at this time; min(): only some.
    };

    std::vector<instance_id> otherNodes() const;
    /// Returns the suspects that were answered here before this crash.
    std::vector<request_fingerprint> record(const backend_crash&);
    void recordAndTell(const backend_crash&);
    void tellAll(const crash_report&);
    void send(unsent_report);
    void sendAgain();
    void sendMissed();
    void handleReply(const std::vector<backend_crash>& told, std::string_view body);
    void ask();
    /// Returns the suspects that were answered here before the crashes of the report.
    std::vector<request_fingerprint> apply(const crash_report&);

    const mesh_settings& m_settings;
    mesh_directory& m_directory;
    crash_suspects& m_suspects;
    std::vector<unsent_report> m_unsent;
    timer m_resend;
    /// Nodes that have not taken a report in spite of repetitions, and the time of the last one.
    std::map<instance_id, time_point> m_behind;
    timer m_missedTimer;
    int m_questions = 0;
    int m_replies = 0;
    timer m_askTimer;
};

} // namespace heatherdrift
