#include "core/ownership/ownership.hpp"

#include <map>
#include <memory>
#include <string>

#include "core/hashing/rendezvous.hpp"
#include "core/messages/grant_release.hpp"
#include "core/messages/grant_renewal.hpp"
#include "core/messages/reserve_request.hpp"
#include "core/scheduling/engine_report.hpp"
#include "core/scheduling/fifo_policy.hpp"
#include "core/scheduling/upstream_queue.hpp"
#include "core/upstreams/upstream.hpp"

// Included after the standard headers because its macros break them.
#include <CppUTest/TestHarness.h>

using namespace fuchsiaquay;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::int64_t engine_memory = 1000;
constexpr std::int64_t stream_memory = 200;
constexpr duration step = milliseconds(10);

/// Engine that refuses a stream for which it has no memory.
class simulated_engine {
public:
    explicit simulated_engine(duration stream_time) : stream_time_(stream_time) {}

    bool start(const grant_id& grant, instant now) {
        if (used() + stream_memory > engine_memory) {
            ++refusals;
            return false;
        }
        streams_[grant] = now + stream_time_;
        return true;
    }
    bool finished(const grant_id& grant, instant now) {
        const auto found = streams_.find(grant);
        if (found == streams_.end() || found->second > now) {
            return false;
        }
        streams_.erase(found);
        return true;
    }
    bool cancel(const grant_id& grant) { return streams_.erase(grant) > 0; }
    std::int64_t used() const { return static_cast<std::int64_t>(streams_.size()) * stream_memory; }
    engine_report report(const host_id& observer, instant now) const {
        engine_report report;
        report.memory_tokens = engine_memory;
        report.asked_at = now;
        for (const auto& [grant, end] : streams_) {
            engine_stream stream;
            stream.grant = grant;
            stream.memory_tokens = stream_memory;
            stream.phase = stream_phase::decode;
            // Each of two owners considers the other unreachable, or it would not own the engine.
            stream.issuer_unreachable = !granted_by(grant, observer);
            report.streams.push_back(stream);
        }
        return report;
    }
    int refusals = 0;

private:
    duration stream_time_;
    std::map<grant_id, instant> streams_;
};

/// Host that considers itself the owner of the engine, with an entry host that agrees.
class simulated_owner {
public:
    simulated_owner(const std::string& name, simulated_engine& engine, bool rebuilding)
        : name_(name),
          engine_(engine),
          queue_(settings(name), std::make_unique<fifo_policy>(), rebuilding, instant()) {}

    void ask(int number, instant now) {
        reserve_request request;
        request.request = request_id(name_ + "-" + std::to_string(number));
        request.entry_host = host_id(name_);
        request.customer = customer_id("greenline");
        request.prompt_tokens = stream_memory;
        request.memory_tokens = stream_memory;
        request.time_left = seconds(60);
        waiting_[request.request] = request;
        carry_out(queue_.reserve(request, now), now);
    }

    void advance(instant now) {
        if (now >= next_poll_) {
            next_poll_ = now + seconds(1);
            renew(now);
            carry_out(queue_.observe_engine(engine_.report(host_id(name_), now), now), now);
        }
        carry_out(queue_.tick(now), now);
        for (auto it = running_.begin(); it != running_.end();) {
            if (!engine_.finished(it->first, now)) {
                ++it;
                continue;
            }
            ++finished;
            release(it->first, it->second, now);
            it = running_.erase(it);
        }
        while (!retries_.empty() && retries_.begin()->first <= now) {
            const reserve_request request = retries_.begin()->second;
            retries_.erase(retries_.begin());
            waiting_[request.request] = request;
            carry_out(queue_.reserve(request, now), now);
        }
    }

    bool idle() const { return waiting_.empty() && running_.empty() && retries_.empty(); }
    int finished = 0;
    int cancelled = 0;

private:
    static upstream_settings settings(const std::string& name) {
        upstream_settings made;
        made.upstream = upstream_id("engine");
        made.owner = host_id(name);
        made.incarnation = 1;
        made.memory_tokens = engine_memory;
        made.short_memory_tokens = 0;
        made.dispatch_window = seconds(1);
        return made;
    }

    void renew(instant now) {
        for (const auto& [grant, request] : running_) {
            carry_out(
                queue_.renew(grant_renewal{grant, request, upstream_id("engine"), host_id(name_),
                                           customer_id("greenline"), 0, stream_memory},
                             now),
                now);
        }
    }

    void release(const grant_id& grant, const request_id& request, instant now) {
        carry_out(queue_.release(grant_release{grant, request, upstream_id("engine"), 0}, now),
                  now);
    }

    void carry_out(const scheduling_actions& actions, instant now) {
        for (const grant_id& stream : actions.cancels) {
            cancelled += engine_.cancel(stream) ? 1 : 0;
        }
        for (const addressed_reply& item : actions.replies) {
            const auto found = waiting_.find(item.reply.request);
            if (found == waiting_.end() || item.reply.outcome == reserve_outcome::queued) {
                continue;
            }
            const reserve_request request = found->second;
            waiting_.erase(found);
            if (item.reply.outcome == reserve_outcome::refused) {
                retry(request, now + item.reply.retry_after);
            } else if (engine_.start(item.reply.grant, now)) {
                running_[item.reply.grant] = request.request;
            } else {
                release(item.reply.grant, request.request, now);
                retry(request, now + milliseconds(100));
            }
        }
    }

    /// Sends the request again under a new request id, which is safe because nothing has run yet.
    void retry(reserve_request request, instant when) {
        request.request = request_id(request.request.value() + "'");
        retries_.emplace(when, request);
    }

    std::string name_;
    simulated_engine& engine_;
    upstream_queue queue_;
    std::map<request_id, reserve_request> waiting_;
    std::map<grant_id, request_id> running_;
    std::multimap<instant, reserve_request> retries_;
    instant next_poll_{};
};

}  // namespace

TEST_GROUP(ownership) {
    std::map<data_centre_id, std::vector<host_id>> live_{
        {data_centre_id("a"), {host_id("a1"), host_id("a2"), host_id("a3")}},
        {data_centre_id("b"), {host_id("b1"), host_id("b2")}}};
    ownership owners_{
        [this](const data_centre_id& centre) { return live_[centre]; },
        [] {
            return std::vector<data_centre_id>{data_centre_id("a"), data_centre_id("b")};
        }};

    static upstream engine(int number, const std::string& centre) {
        upstream made;
        made.id = upstream_id("engine-" + std::to_string(number));
        made.data_centre = data_centre_id(centre);
        return made;
    }
};

TEST(ownership, owner_is_a_host_of_the_same_data_centre) {
    for (int i = 0; i < 50; ++i) {
        STRCMP_EQUAL("b", owners_.owner_of(engine(i, "b")).value().substr(0, 1).c_str());
    }
}

TEST(ownership, host_that_dies_loses_only_its_own_upstreams) {
    std::map<int, host_id> before;
    for (int i = 0; i < 200; ++i) {
        before[i] = owners_.owner_of(engine(i, "a"));
    }
    live_[data_centre_id("a")].pop_back();
    for (int i = 0; i < 200; ++i) {
        if (before[i] != host_id("a3")) {
            CHECK_TRUE(before[i] == owners_.owner_of(engine(i, "a")));
        }
    }
}

TEST(ownership, data_centre_without_hosts_is_owned_from_elsewhere) {
    live_[data_centre_id("a")].clear();
    STRCMP_EQUAL("b", owners_.owner_of(engine(1, "a")).value().substr(0, 1).c_str());
    live_[data_centre_id("b")].clear();
    CHECK_TRUE(owners_.owner_of(engine(1, "a")).empty());
}

TEST(ownership, two_owners_at_once_cost_refusals_but_no_answer_and_no_memory) {
    simulated_engine engine(milliseconds(500));
    simulated_owner first("x", engine, false);
    simulated_owner second("y", engine, false);
    constexpr int requests = 60;
    instant now{};
    for (int i = 0; i < requests; ++i) {
        for (duration waited{}; waited < milliseconds(100); waited += step) {
            now += step;
            first.advance(now);
            second.advance(now);
            CHECK_TRUE(engine.used() <= engine_memory);
        }
        first.ask(i, now);
        second.ask(i, now);
    }
    while (!(first.idle() && second.idle()) && now < instant() + seconds(120)) {
        now += step;
        first.advance(now);
        second.advance(now);
    }
    LONGS_EQUAL(requests, first.finished);
    LONGS_EQUAL(requests, second.finished);
    LONGS_EQUAL(0, first.cancelled + second.cancelled);
    LONGS_EQUAL(0, engine.used());
    // Memory was granted twice: the limit was enforced by the engine, not by agreement of the
    // owners.
    CHECK_TRUE(engine.refusals > 0);
}

TEST(ownership, two_owners_at_once_do_not_cancel_each_others_streams) {
    simulated_engine engine(seconds(30));
    simulated_owner first("x", engine, false);
    simulated_owner second("y", engine, false);
    instant now{};
    first.ask(1, now);
    second.ask(1, now);
    while (now < instant() + seconds(40)) {
        now += step;
        first.advance(now);
        second.advance(now);
    }
    LONGS_EQUAL(0, first.cancelled + second.cancelled);
    LONGS_EQUAL(2, first.finished + second.finished);
}

TEST(ownership, stream_without_live_owner_is_cancelled) {
    simulated_engine engine(std::chrono::minutes(60));
    simulated_owner dead_owner("x", engine, false);
    simulated_owner new_owner("y", engine, true);
    instant now{};
    dead_owner.ask(1, now);
    LONGS_EQUAL(stream_memory, engine.used());
    while (now < instant() + std::chrono::minutes(3)) {
        now += step;
        new_owner.advance(now);
    }
    LONGS_EQUAL(0, engine.used());
}
