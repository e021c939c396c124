#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "drivers/journal/flatbuffers_shard_codec.hpp"
#include "servers/journal/journal_peers.hpp"
#include "servers/journal/journal_service.hpp"
#include "servers/wall_clock.hpp"
#include "tests/servers/journal/journal_store_client.hpp"
#include "tests/servers/virtual_timer_service.hpp"

namespace fuchsiaquay {

/// Wall clock driven by the virtual timers, with an adjustable error.
class virtual_wall_clock final : public wall_clock {
public:
    explicit virtual_wall_clock(const timer_service& timers) : timers_(timers) {}

    std::int64_t unix_ms() const override {
        constexpr std::int64_t start_ms = 1'700'000'000'000;
        return start_ms + to_milliseconds(timers_.now().time_since_epoch()) + error_ms_;
    }

    std::int64_t error_ms_ = 0;

private:
    const timer_service& timers_;
};

/// Nodes `a`, `b` and `c`, each with a journal, that share one store in virtual time. Messages
/// between them take 1 ms. `executions_` counts how often the plain service ran each key.
class journal_fleet {
public:
    class node final : public journal_peers {
    public:
        node(journal_fleet& fleet, const std::string& name, unsigned seed)
            : fleet_(fleet),
              host_(name),
              store_(fleet.store_, fleet.timers_, seed),
              clock_(fleet.timers_) {}

        bool alive(const host_id& host) const override {
            return fleet_.dead_.count(host.value()) == 0;
        }
        void send(const host_id& host, const peer_message& message) override {
            const host_id sender = host_;
            journal_fleet& fleet = fleet_;
            fleet.timers_.after(std::chrono::milliseconds(1), [&fleet, sender, host, message] {
                node& receiver = fleet.at(host.value());
                if (receiver.journal_) {
                    receiver.journal_->on_peer_message(sender, message);
                }
            });
        }

        /// Starts the process, or replaces it with a new one.
        void start() {
            crash();
            ++incarnation_;
            journal_ = std::make_unique<journal_service>(
                fleet_.settings_, writer_identity{host_, incarnation_}, store_, fleet_.timers_,
                clock_, fleet_.codec_, *this, fleet_.fault_);
        }
        void crash() {
            store_.disconnect();
            journal_.reset();
        }

        journal_fleet& fleet_;
        host_id host_;
        journal_store_client store_;
        virtual_wall_clock clock_;
        std::uint64_t incarnation_ = 0;
        std::unique_ptr<journal_service> journal_;
    };

    explicit journal_fleet(journal_fault fault = journal_fault::none) : fault_(fault) {
        settings_.shard_count = 1;
        unsigned seed = 0;
        for (const char* name : {"a", "b", "c"}) {
            nodes_.emplace(name, std::make_unique<node>(*this, name, ++seed));
            at(name).start();
        }
    }

    node& at(const std::string& name) { return *nodes_.at(name); }

    /// Returns a key that is issued now.
    std::string new_key() {
        ++key_count_;
        return make_idempotency_key(at("a").clock_.unix_ms(), key_count_, key_count_).to_string();
    }

    begin_request request(const std::string& key) const {
        return {customer_id("greenline"), key, 7, std::chrono::seconds(10)};
    }

    /// Begins a call with `key` at a node without running it.
    void begin(const std::string& name, const std::string& key,
               std::vector<begin_result>& results) {
        at(name).journal_->begin(request(key),
                                 [&results](const auto& result) { results.push_back(result); });
    }

    /// Begins a call with `key` at a node and runs it if the journal allows it. The service answers
    /// after 5 ms with the number of the execution, or never if `unanswered_` is set.
    void call(const std::string& name, const std::string& key, std::vector<begin_result>& results) {
        at(name).journal_->begin(request(key), [this, name, key, &results](const auto& result) {
            results.push_back(result);
            if (result.verdict == begin_verdict::started) {
                run(name, key, result.token);
            }
        });
    }

    /// Like `call`, but waits for the verdict and for the end of the call.
    begin_result call_and_wait(const std::string& name, const std::string& key) {
        std::vector<begin_result> results;
        call(name, key, results);
        for (int step = 0; step < 1'000 && results.empty(); ++step) {
            timers_.advance(std::chrono::milliseconds(10));
        }
        timers_.advance(std::chrono::milliseconds(10));
        return results.at(0);
    }

    virtual_timer_service timers_;
    journal_settings settings_;
    journal_fault fault_;
    journal_store store_;
    flatbuffers_shard_codec codec_;
    std::map<std::string, int> executions_;
    /// Hosts that the membership considers dead.
    std::map<std::string, bool> dead_;
    bool unanswered_ = false;

private:
    void run(const std::string& name, const std::string& key, const journal_token& token) {
        const int execution = ++executions_[key];
        const journal_outcome outcome =
            unanswered_
                ? journal_outcome::uncertain()
                : journal_outcome::answered(200, "application/json", std::to_string(execution));
        timers_.after(std::chrono::milliseconds(5), [this, name, token, outcome] {
            node& runner = at(name);
            if (runner.journal_ && runner.incarnation_ == token.mark.incarnation) {
                runner.journal_->finish(token, outcome);
            }
        });
    }

    std::map<std::string, std::unique_ptr<node>> nodes_;
    std::uint64_t key_count_ = 0;
};

}  // namespace fuchsiaquay
