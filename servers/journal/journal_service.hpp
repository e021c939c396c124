#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <unordered_map>

#include "core/journal/journal_fault.hpp"
#include "core/journal/journal_settings.hpp"
#include "core/journal/shard_writer.hpp"
#include "core/journal/write_rate_limiter.hpp"
#include "core/messages/peer_message.hpp"
#include "servers/journal/begin_request.hpp"
#include "servers/journal/begin_result.hpp"
#include "servers/journal/journal_counters.hpp"
#include "servers/journal/mark_inquiries.hpp"
#include "servers/journal/writer_identity.hpp"
#include "servers/store/key_value_store.hpp"
#include "servers/timer_service.hpp"

namespace fuchsiaquay {

class journal_peers;
class shard_codec;
class wall_clock;

/// Journal of calls that must run at most once. It is kept in the store, divided into shards with
/// the keys `fuchsiaquay/journal/<shard>`. Used on the control thread only.
class journal_service {
public:
    using begin_handler = std::function<void(const begin_result&)>;

    /// @param fault  fault injected by a test
    journal_service(const journal_settings& settings, writer_identity self, key_value_store& store,
                    timer_service& timers, const wall_clock& clock, const shard_codec& codec,
                    journal_peers& peers, journal_fault fault = journal_fault::none);
    journal_service(const journal_service&) = delete;
    journal_service& operator=(const journal_service&) = delete;
    ~journal_service();

    /// Requests permission to make a call. `handler` runs once, possibly before this function
    /// returns. After `started`, call the service at most once and then pass the token to `finish`,
    /// or to `abandon` if the call was never sent. After any other verdict do not make the call.
    void begin(const begin_request& request, begin_handler handler);
    /// Records the outcome of the call. The caller may be answered before it is durable.
    void finish(const journal_token& token, const journal_outcome& outcome);
    /// Releases a token whose call was never sent. The caller may be told that the call did not
    /// run.
    void abandon(const journal_token& token);
    /// Handles `mark_query` and `mark_answer`; other messages are ignored.
    void on_peer_message(const host_id& sender, const peer_message& message);

    /// Changes this node's share of the fleet's write budget.
    void set_write_rate(double writes_per_second);
    /// Refuses new calls from now on and calls `done` once every outcome is durable.
    void drain(std::function<void()> done);
    const journal_counters& counters() const noexcept { return counters_; }

private:
    struct shard_slot {
        explicit shard_slot(const journal_settings& settings, journal_fault fault)
            : writer(settings, fault) {}

        shard_writer writer;
        /// True while the shard is in `write_queue_`.
        bool write_queued = false;
        /// Present backoff after failed store calls.
        duration retry_delay{};
        /// No store call is made before this time.
        instant not_before{};
        instant last_used{};
    };
    struct pending_begin {
        std::uint32_t shard = 0;
        record_id record;
        begin_handler handler;
    };

    shard_slot& slot_of(std::uint32_t shard);
    const char* refusal_reason(const shard_slot& slot, const record_id& record,
                               duration& retry_after);
    void process_shard(std::uint32_t shard);
    void process_active_shards();
    void deliver_decisions(std::uint32_t shard);
    void deliver_decision(const start_decision& decision);
    void start_read(std::uint32_t shard);
    void on_read(std::uint32_t shard, const read_result& result);
    bool apply_read(shard_slot& slot, const read_result& result);
    void queue_write(std::uint32_t shard);
    void start_queued_writes();
    void start_write(std::uint32_t shard);
    void on_write(std::uint32_t shard, const write_result& result);
    void update_store_health(shard_slot& slot, bool answered, bool usable);
    void ask_writers(std::uint32_t shard);
    void answer_query(const host_id& sender, const mark_query& query);
    void on_query_answer(const host_id& sender, const mark_answer& answer);
    void evict_idle();
    void finish_drain();

    journal_settings settings_;
    writer_identity self_;
    key_value_store& store_;
    timer_service& timers_;
    const wall_clock& clock_;
    const shard_codec& codec_;
    journal_peers& peers_;
    journal_fault fault_;
    write_rate_limiter write_limiter_;
    std::uint32_t last_sequence_ = 0;
    std::unordered_map<std::uint32_t, std::unique_ptr<shard_slot>> slots_;
    /// Shards with pending calls or store calls.
    std::set<std::uint32_t> active_;
    /// Shards that wait for the write rate limiter, in order.
    std::deque<std::uint32_t> write_queue_;
    std::map<writer_mark, pending_begin> pending_begins_;
    mark_inquiries inquiries_;
    bool store_failing_ = false;
    instant last_failure_{};
    timer_service::subscription tick_ = 0;
    timer_service::subscription write_queue_timer_ = 0;
    std::function<void()> on_drained_;
    journal_counters counters_;
    /// Expires with this object, so that later answers of the store are ignored.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace fuchsiaquay
