#include "servers/reservation/owner_service.hpp"

#include <algorithm>
#include <set>
#include <string>
#include <vector>

#include "core/messages/grant_renewal.hpp"
#include "core/messages/reserve_reply.hpp"
#include "core/messages/reserve_request.hpp"
#include "core/scheduling/engine_report.hpp"
#include "core/upstreams/upstream.hpp"
#include "servers/reservation/engine_admin.hpp"
#include "servers/reservation/owner_locator.hpp"
#include "servers/views/host_view.hpp"
#include "servers/views/upstream_view.hpp"
#include "tests/servers/simulated_network.hpp"

// Included after the standard headers, because its macros break them.
#include <CppUTest/TestHarness.h>

using namespace fuchsiaquay;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

/// Timers of a process that can be paused: time passes, but no timer runs.
class pausable_timers final : public timer_service {
public:
    instant now() const override { return inner_.now() + paused_; }
    subscription every(duration period, callback action) override {
        return inner_.every(period, std::move(action));
    }
    subscription after(duration delay, callback action) override {
        return inner_.after(delay, std::move(action));
    }
    void cancel(subscription id) override { inner_.cancel(id); }
    void advance(duration span) { inner_.advance(span); }
    void pause(duration span) { paused_ += span; }

private:
    virtual_timer_service inner_;
    duration paused_{};
};

/// Two hosts, of which the first owns the one engine.
class two_host_cluster final : public host_view, public upstream_view, public owner_locator {
public:
    const member_update& host() const override { return hosts[0]; }
    std::vector<member_update> live_hosts() const override { return hosts; }
    std::optional<member_update> find(const host_id& host) const override {
        for (const member_update& known : hosts) {
            if (known.host == host) {
                return known;
            }
        }
        return std::nullopt;
    }
    std::vector<upstream> all() const override { return {engine}; }
    std::optional<upstream> find(const upstream_id&) const override { return engine; }
    std::optional<member_update> owner_of(const upstream&) const override { return hosts[0]; }

    std::vector<member_update> hosts{simulated_network::place("self", "a"),
                                     simulated_network::place("other", "a")};
    upstream engine;
};

class fake_engine final : public engine_admin {
public:
    void list_streams(const upstream&, report_handler done) override {
        engine_report report;
        report.memory_tokens = 100'000;
        for (const grant_id& grant : streams) {
            engine_stream stream;
            stream.grant = grant;
            stream.memory_tokens = 100;
            stream.phase = stream_phase::decode;
            report.streams.push_back(stream);
        }
        done("", report);
    }
    void cancel_stream(const upstream&, const grant_id& stream) override { streams.erase(stream); }
    std::set<grant_id> streams;
};

}  // namespace

TEST_GROUP(owner_service) {
    pausable_timers timers_;
    simulated_network network_;
    simulated_network::transport transport_{network_, host_id("self")};
    counting_log log_;
    two_host_cluster cluster_;
    fake_engine engine_;

    void setup() override {
        cluster_.engine.id = upstream_id("engine");
        cluster_.engine.memory_tokens = 100'000;
    }

    static grant_renewal renewal(const grant_id& grant) {
        grant_renewal message;
        message.grant = grant;
        message.request = request_id("r-" + grant.value());
        message.upstream = upstream_id("engine");
        message.entry_host = host_id("other");
        message.memory_tokens = 100;
        return message;
    }
};

TEST(owner_service, paused_owner_does_not_cancel_streams_that_are_registered_again) {
    owner_service service(timers_, log_, cluster_, cluster_, cluster_, transport_, engine_,
                          upstream_settings());
    service.refresh();
    const grant_id grant("self-1-engine-1");
    engine_.streams.insert(grant);
    service.renew(renewal(grant));
    timers_.advance(seconds(2));
    timers_.pause(minutes(1));
    timers_.advance(std::chrono::milliseconds(20));
    // The entry host used another owner in the meantime and now registers its grant here again.
    service.renew(renewal(grant));
    for (int i = 0; i < 10; ++i) {
        timers_.advance(seconds(3));
        service.renew(renewal(grant));
    }
    LONGS_EQUAL(1, engine_.streams.size());
    LONGS_EQUAL(1, log_.lines["ownership_restarted"]);
}

TEST(owner_service, stream_of_an_unreachable_owner_is_kept_for_two_minutes) {
    owner_service service(timers_, log_, cluster_, cluster_, cluster_, transport_, engine_,
                          upstream_settings());
    service.refresh();
    engine_.streams = {grant_id("parted-1-engine-1"), grant_id("other-1-engine-1")};
    timers_.advance(seconds(110));
    LONGS_EQUAL(1, engine_.streams.count(grant_id("parted-1-engine-1")));
    LONGS_EQUAL(0, engine_.streams.count(grant_id("other-1-engine-1")));
    timers_.advance(seconds(20));
    LONGS_EQUAL(0, engine_.streams.size());
}
