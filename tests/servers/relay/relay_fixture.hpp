#pragma once

#include <algorithm>
#include <cctype>
#include <cstddef>
#include <memory>
#include <set>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "core/fleet/fleet_configuration.hpp"
#include "core/health/breaker_settings.hpp"
#include "core/health/upstream_health.hpp"
#include "core/health/upstream_notices.hpp"
#include "core/placement/interference_aware_placement.hpp"
#include "core/relay/relay_memory.hpp"
#include "core/retry/fleet_retry_budget.hpp"
#include "servers/fleet/configuration_codec.hpp"
#include "servers/fleet/configuration_feed.hpp"
#include "servers/fleet/engine_work_table.hpp"
#include "servers/fleet/evacuation_feed.hpp"
#include "servers/fleet/upstream_codec.hpp"
#include "servers/fleet/upstream_registry.hpp"
#include "servers/relay/active_request.hpp"
#include "servers/relay/connection_options.hpp"
#include "servers/relay/engine_memory_client.hpp"
#include "servers/relay/exchange_listener.hpp"
#include "servers/relay/relay_queue.hpp"
#include "servers/relay/request_format.hpp"
#include "servers/relay/response_sink.hpp"
#include "servers/relay/upstream_connector.hpp"
#include "servers/relay/upstream_exchange.hpp"
#include "servers/relay/upstream_request_metadata.hpp"
#include "servers/request_metrics.hpp"
#include "servers/store/mirror_listeners.hpp"
#include "servers/store/prefix_mirror.hpp"
#include "tests/servers/recording_log.hpp"
#include "tests/servers/store/scripted_store.hpp"
#include "tests/servers/virtual_timer_service.hpp"

namespace fuchsiaquay::testing {

/// One configuration with a plain service, a service of model engines, and a plain service whose
/// upstreams tolerate few requests when they are cold.
class fixed_configuration final : public configuration_codec {
public:
    std::shared_ptr<const fleet_configuration> decode(const std::string& text) const override {
        auto result =
            std::make_shared<fleet_configuration>(std::stoll(text), caller_limits(), true);
        add(*result, "/order/", request_semantics::non_idempotent, 1, "shop");
        add(*result, "/pay/", request_semantics::non_idempotent, 3, "shop");
        add(*result, "/lookup/", request_semantics::idempotent, 2, "shop");
        add(*result, "/public/", request_semantics::non_idempotent, 1, "shop", 0, true);
        add(*result, "/chat/", request_semantics::stream, 2, "llm");
        add(*result, "/talk/", request_semantics::stream, 3, "llm");
        add(*result, "/stock/", request_semantics::idempotent, 2, "depot");
        service_profile shop;
        shop.name = "shop";
        shop.max_connections = 10;
        result->add_service(shop);
        service_profile depot = shop;
        depot.name = "depot";
        depot.cold_time = std::chrono::seconds(3);
        depot.cold_requests_per_s = 4.0;
        result->add_service(depot);
        if (accounts_compete) {
            add(*result, "/later/", request_semantics::stream, 2, "llm", 1);
            result->add_key("other key", {"lee", std::nullopt});
        }
        engine_profile engine;
        engine.slots = 16;
        engine.memory_tokens = 450'000;
        engine.steps_per_pass = 46;
        engine.read_tokens_per_second = 256'000;
        engine.read_ms_per_million_pairs = 0.0917;
        engine.read_tokens_per_step = 2'048;
        service_profile llm = shop;
        llm.name = "llm";
        llm.engine = engine;
        result->add_service(llm);
        result->add_key("key", {"kim", std::nullopt});
        return result;
    }

    /// Adds a less urgent route and a second client account.
    bool accounts_compete = false;

private:
    static void add(fleet_configuration& to, const std::string& prefix, request_semantics semantics,
                    int attempts, const std::string& service, int rank = 0,
                    bool is_public = false) {
        route item;
        item.rank = rank;
        item.name = prefix;
        item.host = "h";
        item.prefix = prefix;
        item.semantics = semantics;
        item.timeout = std::chrono::seconds(semantics == request_semantics::stream ? 10 : 2);
        item.target = std::chrono::milliseconds(250);
        item.target_gap = std::chrono::milliseconds(200);
        item.max_attempts = attempts;
        item.is_public = is_public;
        item.resumable = true;
        item.services = {{service, 1.0}};
        to.add_route(item);
    }
};

/// Decodes entries whose text is the name of their service, and the start time of the process if it
/// follows after a space. A letter before the number of the id names the data centre: `shop-a1`.
class service_codec final : public upstream_codec {
public:
    upstream_entry decode(const std::string& id, const std::string& text) const override {
        upstream_entry entry;
        entry.id = id;
        const std::size_t end = std::min(text.find(' '), text.size());
        entry.service = text.substr(0, end);
        entry.started_at_ms = end < text.size() ? std::stoll(text.substr(end)) : 0;
        entry.address = {"10.0.0.9", static_cast<std::uint16_t>(id.back())};
        entry.slots = 6;
        const std::size_t dash = id.find('-');
        if (dash != std::string::npos && std::isalpha(id[dash + 1]) != 0) {
            entry.data_centre = id.substr(dash + 1, 1);
        }
        return entry;
    }
};

/// Request format with headers in plain words.
class plain_text_format final : public request_format {
public:
    caller_request read_request(std::string, std::string, header_list) const override { return {}; }
    std::string write_request(const caller_request& request,
                              const upstream_request_metadata& metadata) const override {
        std::string names;
        for (const upstream_request_metadata::helper& item : metadata.helpers) {
            names += " with=" + item.address.text();
        }
        return request.id + " to=" + metadata.upstream + " after=" + metadata.last_event_id +
               " ms=" + std::to_string(to_milliseconds(metadata.time_left)) +
               " parts=" + std::to_string(metadata.helpers.size()) + names;
    }
    upstream_response read_response(response_head head) const override {
        upstream_response answer;
        answer.not_executed = find_header(head.headers, "not-executed") != nullptr;
        answer.misdirected = head.status == 421;
        answer.status_promises_not_run =
            head.status == 503 || head.status == 429 || head.status == 421 || head.status == 408;
        answer.has_execution_proof = find_header(head.headers, "unsealed") == nullptr;
        answer.leaving = find_header(head.headers, "leaving") != nullptr;
        if (const std::string* pause = find_header(head.headers, "pause-ms")) {
            answer.pause = std::chrono::milliseconds(std::stoll(*pause));
        }
        if (const std::string* limit = find_header(head.headers, "limit")) {
            answer.rate_limit = std::stod(*limit);
        }
        answer.reports_request = head.status != 400;
        if (const std::string* id = find_header(head.headers, "id")) {
            answer.request = *id;
        }
        if (const std::string* address = find_header(head.headers, "fault")) {
            answer.at_fault = parse_network_address(*address);
        }
        answer.head = std::move(head);
        return answer;
    }
    response_head make_error_response(int status, duration retry_after,
                                      const std::string&) const override {
        response_head head;
        head.status = status;
        head.headers.push_back({"own", std::to_string(to_milliseconds(retry_after))});
        return head;
    }
};

class recording_sink final : public response_sink {
public:
    void send(const response_head& head, std::string body) override {
        ++answers;
        status = head.status;
        own = find_header(head.headers, "own") != nullptr;
        retry_after_ms = own ? std::stoll(*find_header(head.headers, "own")) : 0;
        text = std::move(body);
    }
    void begin(const response_head& head, std::string_view first) override {
        ++begun;
        status = head.status;
        text.append(first);
    }
    void write(std::string_view bytes) override { text.append(bytes); }
    void finish() override { ++answers; }
    void abort() override { ++aborted; }

    int answers = 0;
    int begun = 0;
    int aborted = 0;
    int status = 0;
    bool own = false;
    std::int64_t retry_after_ms = 0;
    std::string text;
};

/// Upstream connector whose exchanges are answered by the test.
class manual_connector final : public upstream_connector {
public:
    struct attempt {
        upstream_entry upstream;
        std::string head;
        bool new_connection = false;
        exchange_listener* listener = nullptr;
        bool open = true;
    };

    std::unique_ptr<upstream_exchange> open(const upstream_entry& upstream, std::string head,
                                            std::shared_ptr<const std::string>,
                                            const connection_options& options,
                                            exchange_listener& listener) override {
        if (std::exchange(fail_to_open, false)) {
            throw std::runtime_error("no address");
        }
        attempts.push_back(std::make_shared<attempt>(
            attempt{upstream, std::move(head), options.new_connection, &listener, true}));
        return std::make_unique<handle>(attempts.back());
    }

    attempt& last() { return *attempts.back(); }
    /// Responds with the id of the request, as upstreams do, unless `headers` contains an `id` or
    /// `unnamed`. With `until-close` the body ends with the connection.
    void answer(int status, const header_list& headers = {}) {
        response_head head;
        head.status = status;
        head.headers = headers;
        head.ends_with_connection = find_header(headers, "until-close") != nullptr;
        const bool has_id = find_header(headers, "id") != nullptr;
        if (!has_id && find_header(headers, "unnamed") == nullptr) {
            head.headers.push_back({"id", last().head.substr(0, last().head.find(' '))});
        }
        last().listener->on_head(head);
    }
    void body(const std::string& bytes) { last().listener->on_body(bytes); }
    void end() { last().listener->on_end(); }
    void fail(bool sent, const char* reason = "reset", answer_fault fault = answer_fault::none) {
        last().listener->on_failure({sent, false, reason, false, fault});
    }

    std::vector<std::shared_ptr<attempt>> attempts;
    /// The next attempt throws an exception.
    bool fail_to_open = false;

private:
    class handle final : public upstream_exchange {
    public:
        explicit handle(std::shared_ptr<attempt> item) : item_(std::move(item)) {}
        handle(const handle&) = delete;
        handle& operator=(const handle&) = delete;
        ~handle() override { item_->open = false; }

        /// All connections but new ones had been used before.
        bool reused_connection() const override { return !item_->new_connection; }

    private:
        std::shared_ptr<attempt> item_;
    };
};

/// Engine memory client that confirms, denies or ignores requests as the test specifies.
class manual_memory_client final : public engine_memory_client {
public:
    void reserve(const network_address& engine, const std::string& id, std::int64_t, duration,
                 reservation_handler done) override {
        ++reserves;
        if (reserves == deny_at) {
            denying_engine = engine;
        }
        if (engine == denying_engine) {
            ++denials;
            done(false);
            return;
        }
        if (silent) {
            return;
        }
        if (refuse_after >= 0 && reserves > refuse_after) {
            done(false);
            return;
        }
        held.insert(id);
        if (hold_answers) {
            answers.push_back([done = std::move(done)] { done(true); });
            return;
        }
        done(true);
    }
    void release(const network_address&, const std::string& id) override { held.erase(id); }
    void deliver_answers() {
        for (const std::function<void()>& answer : std::exchange(answers, {})) {
            answer();
        }
    }

    std::set<std::string> held;
    int reserves = 0;
    int refuse_after = -1;
    /// The engine that gets the reservation with this number, starting at 1, denies it and all
    /// later ones.
    int deny_at = 0;
    /// Answers are queued until `deliver_answers` is called.
    bool hold_answers = false;
    std::vector<std::function<void()>> answers;
    int denials = 0;
    network_address denying_engine;
    bool silent = false;
};

class recording_metrics final : public request_metrics {
public:
    void first_token(int, std::int64_t, duration) override {}
    void placed(int, duration) override {}
    void token_gap(duration, std::int64_t) override {}
    void refused(const std::string&) override {}
    void retried(const std::string&) override {}
    void answered() override {}
    void answer_received(const std::string& end) override { received_answers.push_back(end); }
    void answer_rejected(const std::string& fault) override { rejected_answers.push_back(fault); }
    void answer_cut(const std::string&) override {}

    std::vector<std::string> received_answers;
    std::vector<std::string> rejected_answers;
};

constexpr std::size_t relay_memory_bytes = 20'000'000;
/// Time that other hosts have to announce their claims before a long prompt is sent.
constexpr duration claim_settle_time = std::chrono::milliseconds(25);

/// The request relay of one host, with a recording sink and upstream exchanges that the test
/// controls.
struct relay_fixture {
    /// @param with_evacuations  whether the deployment uses evacuations; they are read from the
    /// keys with the prefix `config/evacuate/`
    explicit relay_fixture(bool with_evacuations = false)
        : evacuations(log, "config/evacuate/", with_evacuations),
          mirror(store, timers, log, operator_values, "config", {}) {
        store.put("config", "1");
        mirror.follow(true, std::chrono::seconds(1));
        upstreams.on_snapshot({{"u/shop-1", "shop", 1},
                               {"u/shop-2", "shop", 1},
                               {"u/llm-1", "llm", 1},
                               {"u/llm-2", "llm", 1},
                               {"u/llm-3", "llm", 1}},
                              1, false);
        timers.advance(std::chrono::seconds(3));
    }

    caller_request request(const std::string& target, std::int64_t prompt = 1'000) const {
        caller_request result;
        result.id = "r1";
        result.method = "POST";
        result.target = target;
        result.host = "h";
        result.api_key = "key";
        result.prompt_tokens = prompt;
        result.max_answer_tokens = 100;
        result.received_at = timers.now();
        return result;
    }
    void add_engine(const std::string& id) {
        upstreams.on_changes({{{"u/" + id, "llm", 2}, false}}, 2);
    }
    void serve(const caller_request& wanted) { active = queue.serve(wanted, sink); }
    /// Serves a long prompt, which other hosts may want to place on the same engine, and waits
    /// until it is sent.
    void serve_long(const caller_request& wanted) {
        serve(wanted);
        timers.advance(claim_settle_time);
    }
    std::size_t attempts() const { return connector.attempts.size(); }

    virtual_timer_service timers;
    recording_log log;
    scripted_store store{timers};
    fixed_configuration configuration_codec;
    service_codec upstream_codec;
    plain_text_format format;
    configuration_feed feed{configuration_codec, log, "config"};
    evacuation_feed evacuations;
    mirror_listeners operator_values{{&feed, &evacuations}};
    prefix_mirror mirror;
    upstream_registry upstreams{upstream_codec, timers, log, "u/"};
    engine_work_table work_table{"me"};
    upstream_health health{breaker_settings()};
    upstream_notices notices;
    fleet_retry_budget budget{fleet_retry_settings()};
    interference_aware_placement placement;
    manual_connector connector;
    manual_memory_client memory_client;
    relay_memory memory{relay_memory_bytes};
    recording_metrics metrics;
    duration serving_time = duration::max();
    duration stopping_time = duration::zero();
    bool knows_all_work = true;
    relay_services services{"me",
                            timers,
                            log,
                            feed,
                            mirror,
                            evacuations,
                            upstreams,
                            work_table,
                            health,
                            notices,
                            budget,
                            placement,
                            connector,
                            format,
                            metrics,
                            memory_client,
                            memory,
                            [this] { return serving_time; },
                            [this] { return stopping_time; },
                            [this] { return knows_all_work; }};
    relay_queue queue{services};
    recording_sink sink;
    std::unique_ptr<active_request> active;
};

}  // namespace fuchsiaquay::testing
