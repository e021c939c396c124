#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>

#include "tests/stand_ins/platform/gateway.hpp"
#include "tests/stand_ins/platform/host_directory.hpp"
#include "tests/stand_ins/platform/rate_window.hpp"
#include "tests/stand_ins/platform/watch_streams.hpp"
#include "tests/stand_ins/support/http_server.hpp"

namespace fuchsiaquay::stand_ins {

/// Simulates all services of the platform, with faults on command. Thread safe.
class platform {
public:
    explicit platform(const options& settings);

    void handle(const web::http::http_request& request, const std::string& body);

private:
    void handle_store(const web::http::http_request& request, const std::string& path,
                      const std::string& body);
    void execute(const web::http::http_request& request, const std::string& path,
                 const std::string& body);
    void handle_control(const web::http::http_request& request, const std::string& path,
                        const std::string& body);
    void handle_hosts_control(const web::http::http_request& request, const std::string& path,
                              const std::string& body);
    void handle_weights(const web::http::http_request& request);
    void start_outage(std::chrono::milliseconds length, bool silent);
    void expire_leases();
    web::json::value stats() const;

    const std::int64_t value_limit_bytes_;
    std::mutex mutex_;
    revision_store store_;
    gateway gateway_{store_};
    watch_streams watches_{store_, gateway_};
    rate_window writes_;
    rate_window reads_;
    rate_window weights_;
    std::map<std::string, std::int64_t> calls_;
    std::chrono::steady_clock::time_point outage_until_;
    bool silent_outage_ = false;
    std::chrono::milliseconds delay_{0};
    std::int64_t answers_to_lose_ = 0;
    std::chrono::milliseconds lost_answer_wait_{0};
    delayed_tasks tasks_;
    host_directory hosts_;
};

}  // namespace fuchsiaquay::stand_ins
