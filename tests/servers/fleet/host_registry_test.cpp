#include <CppUTest/TestHarness.h>

#include <string>

#include "tests/servers/fleet/virtual_hosts.hpp"

using namespace fuchsiaquay;
using namespace fuchsiaquay::testing;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr int data_centres = 3;
constexpr int hosts_each = 4;
/// Time in which a datagram and its forwarding arrive.
constexpr duration at_once = milliseconds(10);

}  // namespace

TEST_GROUP(host_registry) {
    virtual_hosts fleet_;
    std::uint64_t key_ = 0;

    void setup() override {
        fleet_.store.put("config", "1");
        for (int i = 0; i < data_centres * hosts_each; ++i) {
            fleet_.add("h" + std::to_string(i), "dc" + std::to_string(i % data_centres));
        }
        fleet_.timers.advance(seconds(3));
    }

    virtual_host& host(const std::string& name) const {
        return *fleet_.hosts.at(name);
    }

    /// Lets `name` send a request to an engine of its own, and returns the engine.
    std::string dispatch_at(const std::string& name) {
        engine_work work;
        work.key = ++key_;
        work.engine = "engine-" + std::to_string(key_);
        work.target_gap = milliseconds(200);
        work.dispatched_at = fleet_.timers.now();
        host(name).board.apply_own(work);
        return work.engine;
    }

    int hosts_that_know(const std::string& engine) const {
        int count = 0;
        for (const auto& [name, item] : fleet_.hosts) {
            count += item->board.load(engine).requests();
        }
        return count;
    }

    /// The first host elsewhere that gets a datagram of `name` when it dispatches.
    std::string forwarder_of(const std::string& name) {
        const std::string ip = host(name).registry_address;
        fleet_.network.sent.clear();
        dispatch_at(name);
        for (const auto& [other, item] : fleet_.hosts) {
            if (elsewhere(name, other) &&
                fleet_.network.sent.count({ip, item->registry_address}) > 0) {
                return other;
            }
        }
        return "";
    }

    /// Hosts are dealt out to the data centres in turn.
    static bool elsewhere(const std::string& one, const std::string& other) {
        return (std::stoi(one.substr(1)) - std::stoi(other.substr(1))) % data_centres != 0;
    }
};

TEST(host_registry, work_crosses_to_each_other_data_centre_once_and_reaches_every_host) {
    fleet_.network.sent.clear();
    const std::string engine = dispatch_at("h0");
    fleet_.timers.advance(at_once);
    LONGS_EQUAL(data_centres * hosts_each, hosts_that_know(engine));
    int crossed = 0;
    for (const auto& [from, from_host] : fleet_.hosts) {
        for (const auto& [to, to_host] : fleet_.hosts) {
            const auto sent =
                fleet_.network.sent.find({from_host->registry_address, to_host->registry_address});
            if (elsewhere(from, to) && sent != fleet_.network.sent.end()) {
                crossed += sent->second;
            }
        }
    }
    LONGS_EQUAL(data_centres - 1, crossed);
}

TEST(host_registry, long_prompt_that_waits_is_known_everywhere_at_once) {
    // Hosts that do not know of each other's waiting prompts take the same engine when one is free.
    engine_work waiting;
    waiting.key = 900;
    waiting.phase = work_phase::waiting;
    waiting.prefill_tokens = 300'000;
    waiting.dispatched_at = fleet_.timers.now() + seconds(6);
    host("h0").board.apply_own(waiting);
    fleet_.timers.advance(at_once);
    for (const auto& [name, item] : fleet_.hosts) {
        engine_work later = waiting;
        later.key = 901;
        later.dispatched_at += seconds(1);
        LONGS_EQUAL(1,
                    item->board.load("").prompts_waiting_before(later, fleet_.timers.now()).size());
    }
}

TEST(host_registry, senders_spread_over_the_hosts_of_another_data_centre) {
    std::set<std::string> forwarders;
    for (const auto& [name, item] : fleet_.hosts) {
        forwarders.insert(forwarder_of(name));
    }
    CHECK_TRUE(forwarders.size() > data_centres);
}

TEST(host_registry, work_is_known_within_a_second_while_the_forwarder_is_dead) {
    fleet_.network.cut.insert(host(forwarder_of("h0")).registry_address);
    const std::string engine = dispatch_at("h0");
    fleet_.timers.advance(milliseconds(1'050));
    LONGS_EQUAL(data_centres * hosts_each - 1, hosts_that_know(engine));
}

TEST(host_registry, another_host_forwards_once_the_first_one_is_silent) {
    const std::string first = forwarder_of("h0");
    fleet_.network.cut.insert(host(first).registry_address);
    fleet_.timers.advance(milliseconds(1'200));
    const std::string engine = dispatch_at("h0");
    fleet_.timers.advance(at_once);
    LONGS_EQUAL(data_centres * hosts_each - 1, hosts_that_know(engine));
    CHECK_TRUE(forwarder_of("h0") != first);
}

TEST(host_registry, hosts_stay_in_the_directory_while_a_forwarder_is_dead) {
    fleet_.network.cut.insert(host(forwarder_of("h0")).registry_address);
    for (int i = 0; i < 40; ++i) {
        fleet_.timers.advance(milliseconds(100));
        for (const auto& [name, item] : fleet_.hosts) {
            if (fleet_.network.cut.count(item->registry_address) == 0) {
                CHECK_TRUE(item->registry.hosts_for_callers().size() >=
                           data_centres * hosts_each - 1U);
            }
        }
    }
}
