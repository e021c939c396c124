#pragma once

#include <CppUTest/TestHarness.h>

#include <memory>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "core/relay/relay_memory.hpp"
#include "drivers/metrics/histogram_metrics.hpp"
#include "drivers/traffic/caller_server.hpp"
#include "platform/platform_request_format.hpp"
#include "servers/relay/active_request.hpp"
#include "servers/relay/request_handler.hpp"
#include "servers/relay/response_sink.hpp"
#include "tests/drivers/traffic/raw_client.hpp"
#include "tests/servers/recording_log.hpp"

namespace fuchsiaquay::testing {

/// Records requests, so that the test can respond to them.
class recording_handler final : public request_handler {
public:
    class request_handle final : public active_request {
    public:
        explicit request_handle(recording_handler& owner) : owner_(owner) {}
        request_handle(const request_handle&) = delete;
        request_handle& operator=(const request_handle&) = delete;
        ~request_handle() override { ++owner_.ended; }

        bool passed_on() const override { return owner_.passes_on; }
        void on_connection_lost(const std::string& cause, bool by_caller) override {
            owner_.lost_connections.push_back(cause +
                                              " by_caller=" + std::to_string(by_caller ? 1 : 0));
        }

    private:
        recording_handler& owner_;
    };

    std::unique_ptr<active_request> serve(caller_request request, response_sink& sink) override {
        if (fails) {
            throw std::runtime_error("serve: broken");
        }
        requests.push_back(std::move(request));
        sinks.push_back(&sink);
        return std::make_unique<request_handle>(*this);
    }

    caller_check check_caller(const caller_request& head) const override {
        caller_check result;
        if (head.api_key == "unknown") {
            result.refused = rejection{401, "unknown_key", {}};
        }
        return result;
    }

    std::vector<caller_request> requests;
    std::vector<response_sink*> sinks;
    std::vector<std::string> lost_connections;
    int ended = 0;
    /// Whether requests are sent to an upstream at once.
    bool passes_on = true;
    /// Throw instead of serving.
    bool fails = false;
};

inline response_head ok() {
    response_head head;
    head.status = 200;
    head.reason = "OK";
    return head;
}

/// A caller server on a loopback port with one connected client.
class caller_fixture : public Utest {
public:
    void setup() override {
        server_ = std::make_unique<caller_server>(
            caller_services{loop_, format_, handler_, memory_, [this] { return limits_; },
                            [this] { return stopping_; }, log_, metrics_},
            address_);
        client_ = std::make_unique<raw_client>(loop_, address_);
    }

    bool requests_received(std::size_t count) {
        return run_until(loop_, [&] { return handler_.requests.size() >= count; });
    }

    control_loop loop_;
    platform_request_format format_;
    recording_handler handler_;
    relay_memory memory_{20'000'000};
    recording_log log_;
    histogram_metrics metrics_;
    caller_limits limits_;
    bool stopping_ = false;
    network_address address_ = free_address();
    std::unique_ptr<caller_server> server_;
    std::unique_ptr<raw_client> client_;
};

}  // namespace fuchsiaquay::testing
