#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/contract/contract_registry.hpp"
#include "drivers/admin/admin_api.hpp"
#include "drivers/crypto/digest.hpp"
#include "drivers/json/json_contract_format.hpp"
#include "servers/admin/node_operations.hpp"
#include "servers/admin/request_explainer.hpp"
#include "servers/contracts/contract_editor.hpp"
#include "servers/contracts/contract_registry_view.hpp"
#include "servers/limits/limit_service.hpp"
#include "servers/peer_transport.hpp"
#include "servers/views/host_view.hpp"
#include "servers/views/upstream_view.hpp"
#include "servers/wall_clock.hpp"
#include "tests/servers/recording_log.hpp"
#include "tests/servers/store/fake_store.hpp"
#include "tests/servers/virtual_timer_service.hpp"

namespace fuchsiaquay::testing {

/// Administration API with fakes of the node's parts: one host, one engine and two operators.
class admin_api_fixture final : public host_view,
                                public upstream_view,
                                public request_explainer,
                                public node_operations,
                                public peer_transport,
                                public wall_clock {
public:
    admin_api_fixture() {
        self_.host = host_id("h1");
        engine_.id = upstream_id("e1");
        engine_.models = {model_id("m")};
        store.put("fuchsiaquay/operators",
                  R"({"operators":[{"name":"ann","role":"change","token_sha256":")" +
                      sha256_hex("ann-token") +
                      R"("},{"name":"rob","role":"read","token_sha256":")" +
                      sha256_hex("rob-token") + R"("}]})");
        editor.on_accepted([this](const contract_change& change) {
            registry.apply(change, change.erased ? contract{}
                                                 : format.parse(change.document, change.revision));
        });
    }

    admin_reply call(const admin_request& request) {
        std::vector<admin_reply> replies;
        api.handle(request, [&replies](const admin_reply& reply) { replies.push_back(reply); });
        timers.advance(std::chrono::seconds(20));
        return replies.size() == 1 ? replies.front() : admin_reply{0, {}, "not one reply"};
    }
    admin_reply call(const std::string& token, const std::string& method, const std::string& path,
                     const std::string& body = "", const std::string& if_match = "") {
        admin_request request;
        request.token = token;
        request.method = method;
        request.path = "/admin/v1" + path;
        request.body = body;
        if (if_match == "new") {
            request.if_none_match = "*";
        } else {
            request.if_match = if_match;
        }
        return call(request);
    }

    const member_update& host() const override { return self_; }
    std::vector<member_update> live_hosts() const override { return {self_}; }
    std::optional<member_update> find(const host_id& host) const override {
        return host == self_.host ? std::optional<member_update>(self_) : std::nullopt;
    }
    std::vector<upstream> all() const override { return {engine_}; }
    std::optional<upstream> find(const upstream_id&) const override { return engine_; }
    void explain(const explain_request& request,
                 const std::function<void(const explanation&)>& done) override {
        explanation answer;
        answer.rank_name = request.rank_name;
        answer.candidates.push_back({upstream_id("e1"), 0.5, 10, "short"});
        done(answer);
    }
    void drain(const host_id& host, const done_handler& done) override {
        drained.push_back(host);
        done("");
    }
    std::vector<std::pair<std::string, double>> status_values() const override {
        return {{"queue_length", 3.0}};
    }
    void send(const member_update&, const peer_message&) override {}
    void on_message(handler) override {}
    std::int64_t unix_ms() const override { return 0; }

    virtual_timer_service timers;
    fake_store store{timers};
    recording_log log;
    json_contract_format format;
    contract_registry registry{std::chrono::seconds(10)};
    contract_editor editor{store, timers, format, "h1/1"};
    contract_registry_view contracts{registry};
    limit_service limits{timers, *this, *this, contracts, log, 3};
    std::vector<host_id> drained;
    admin_api api{admin_services{registry, editor, store, timers, *this, *this, *this, limits,
                                 *this, *this, log, sha256_hex("boot-token")}};

private:
    member_update self_;
    upstream engine_;
};

}  // namespace fuchsiaquay::testing
