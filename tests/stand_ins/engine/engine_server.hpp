#pragma once

#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

#include "ctl/emulation/engine_model.hpp"
#include "tests/stand_ins/engine/engine_output.hpp"
#include "tests/stand_ins/support/http_server.hpp"

namespace fuchsiaquay::stand_ins {

/// Implements the HTTP calls of a model engine on an `engine_model` in real time. Thread safe.
class engine_server {
public:
    explicit engine_server(const options& settings);
    ~engine_server();
    engine_server(const engine_server&) = delete;
    engine_server& operator=(const engine_server&) = delete;

    void handle(const web::http::http_request& request, const std::string& body);

private:
    void handle_post(const web::http::http_request& request, const std::string& path,
                     const web::json::value& body);
    void complete(const web::http::http_request& request, const web::json::value& body);
    void prefill(const web::http::http_request& request, const web::json::value& body);
    void export_kv(const web::http::http_request& request, const web::json::value& body);
    void import_kv(const web::http::http_request& request, const web::json::value& body);
    void order(const web::http::http_request& request, const web::json::value& body);
    void cancel(const std::string& stream_id);
    bool refuse(const web::http::http_request& request, submit_result result);
    stream_request read_request(const web::json::value& body) const;
    bool is_held(const std::string& stream_id) const;

    web::json::value streams() const;
    web::json::value load() const;
    web::json::value cache_events(std::uint64_t after) const;

    void run();
    /// Runs the model up to now and delivers what it produced. The caller holds the lock.
    void advance();
    void deliver(const engine_event& event);

    mutable std::mutex mutex_;
    std::condition_variable changed_;
    engine_model model_;
    std::map<std::string, engine_output> outputs_;
    std::map<std::string, std::string> prompt_hashes_;
    /// Highest fencing number by model; orders below it are refused if `checks_orders_`.
    std::map<std::string, std::int64_t> fencing_;
    bool checks_orders_;
    web::json::value submitted_ = web::json::value::array();
    web::json::value orders_ = web::json::value::array();
    std::int64_t unnamed_streams_ = 0;
    bool stopping_ = false;
    std::thread thread_;
};

}  // namespace fuchsiaquay::stand_ins
