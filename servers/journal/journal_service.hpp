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

/// Journal of calls that may not be repeated, kept in the store in shards
/// (`fuchsiaquay/journal/<shard>`). Used on the control thread only.
class journal_service {
public:
    using begin_handler = std::function<void(const begin_result&)>;

    /// @param fault  mechanism taken out by a test
    journal_service(const journal_settings& settings, writer_identity self, key_value_store& store,
                    timer_service& timers, const wall_clock& clock, const shard_codec& codec,
                    journal_peers& peers, journal_fault fault = journal_fault::none);
    journal_service(const journal_service&) = delete;
    journal_service& operator=(const journal_service&) = delete;
    ~journal_service();

    /// Asks to make a call. `handler` runs once, perhaps before this returns. With `started`, call
    /// the service at most once and then give the token to `finish`, or to `abandon` if the call
    /// was never sent. With any other verdict do not call.
    void begin(const begin_request& request, begin_handler handler);
    /// Records how the call ended. The caller may be answered before this is durable.
    void finish(const journal_token& token, const journal_outcome& outcome);
    /// Gives back a token whose call was never sent; the caller may be told "not run".
    void abandon(const journal_token& token);
    /// Handles `mark_query` and `mark_answer`; other messages are ignored.
    void on_peer_message(const host_id& sender, const peer_message& message);

    /// Changes this node's part of the fleet's write budget.
    void set_write_rate(double writes_per_second);
    /// Refuses new calls from now on and calls `done` when every outcome is durable.
    void drain(std::function<void()> done);
    const journal_counters& counters() const noexcept { return counters_; }

private:
    struct shard_slot {
        explicit shard_slot(const journal_settings& settings, journal_fault fault)
            : writer(settings, fault) {}

        shard_writer writer;
        /// Stands in `write_line_`.
        bool in_line = false;
        duration pause{};
        instant not_before{};
        instant last_used{};
    };
    struct open_start {
        std::uint32_t shard = 0;
        record_id record;
        begin_handler handler;
    };

    shard_slot& slot_of(std::uint32_t shard);
    const char* refusal(const shard_slot& slot, const record_id& record, duration& retry_after);
    void pump(std::uint32_t shard);
    void pump_active();
    void deliver(std::uint32_t shard);
    void deliver_one(const start_decision& decision);
    void start_read(std::uint32_t shard);
    void on_read(std::uint32_t shard, const read_result& result);
    bool apply_read(shard_slot& slot, const read_result& result);
    void queue_write(std::uint32_t shard);
    void drain_line();
    void start_write(std::uint32_t shard);
    void on_write(std::uint32_t shard, const write_result& result);
    void note_store_call(shard_slot& slot, bool answered, bool usable);
    void ask_writers(std::uint32_t shard);
    void answer_query(const host_id& sender, const mark_query& query);
    void take_answer(const host_id& sender, const mark_answer& answer);
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
    write_rate_limiter pacer_;
    std::uint32_t last_sequence_ = 0;
    std::unordered_map<std::uint32_t, std::unique_ptr<shard_slot>> slots_;
    /// Shards with something outstanding.
    std::set<std::uint32_t> active_;
    /// Shards that wait for the write budget.
    std::deque<std::uint32_t> write_line_;
    std::map<writer_mark, open_start> starts_;
    mark_inquiries inquiries_;
    bool store_failing_ = false;
    instant last_failure_{};
    timer_service::subscription tick_ = 0;
    timer_service::subscription line_timer_ = 0;
    std::function<void()> drained_;
    journal_counters counters_;
    /// Ends with the service; answers of the store that come later are dropped.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace fuchsiaquay
