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
/// Time within which a datagram and its forwarded copies arrive.
constexpr duration forwarding_time = milliseconds(10);

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

    /// Makes `name` dispatch a request to an engine used by no other request. Returns the engine.
    std::string dispatch_at(const std::string& name) {
        engine_work work;
        work.key = ++key_;
        work.engine = "engine-" + std::to_string(key_);
        work.target_gap = milliseconds(200);
        work.dispatched_at = fleet_.timers.now();
        host(name).work_table.apply_own_works({work});
        return work.engine;
    }

    int hosts_that_know(const std::string& engine) const {
        int count = 0;
        for (const auto& [name, item] : fleet_.hosts) {
            count += item->work_table.load(engine).requests();
        }
        return count;
    }

    /// The first host of another data centre that receives a datagram of `name` on a dispatch.
    std::string forwarder_of(const std::string& name) {
        const std::string ip = host(name).registry_address;
        fleet_.network.sent.clear();
        dispatch_at(name);
        for (const auto& [other, item] : fleet_.hosts) {
            if (in_different_data_centres(name, other) &&
                fleet_.network.sent.count({ip, item->registry_address}) > 0) {
                return other;
            }
        }
        return "";
    }

    /// Whether two hosts are in different data centres. Hosts are assigned to them in turn.
    static bool in_different_data_centres(const std::string& a, const std::string& b) {
        return (std::stoi(a.substr(1)) - std::stoi(b.substr(1))) % data_centres != 0;
    }
};

TEST(host_registry, work_is_sent_once_to_each_other_data_centre_and_reaches_every_host) {
    fleet_.network.sent.clear();
    const std::string engine = dispatch_at("h0");
    fleet_.timers.advance(forwarding_time);
    LONGS_EQUAL(data_centres * hosts_each, hosts_that_know(engine));
    int cross_datagrams = 0;
    for (const auto& [from, from_host] : fleet_.hosts) {
        for (const auto& [to, to_host] : fleet_.hosts) {
            const auto sent =
                fleet_.network.sent.find({from_host->registry_address, to_host->registry_address});
            if (in_different_data_centres(from, to) && sent != fleet_.network.sent.end()) {
                cross_datagrams += sent->second;
            }
        }
    }
    LONGS_EQUAL(data_centres - 1, cross_datagrams);
}

TEST(host_registry, work_is_known_although_a_later_announcement_overtakes_it) {
    // A receiver drops an announcement that arrives after a newer one. Hosts that did not hear of
    // one part of a split prompt placed other prompts on the engine that was processing it.
    fleet_.network.overtaking = true;
    for (int round = 0; round < 2; ++round) {
        const std::string first = dispatch_at("h0");
        const std::string second = dispatch_at("h0");
        fleet_.timers.advance(forwarding_time);
        LONGS_EQUAL(data_centres * hosts_each, hosts_that_know(first));
        LONGS_EQUAL(data_centres * hosts_each, hosts_that_know(second));
    }
}

TEST(host_registry, work_is_known_although_an_announcement_is_lost) {
    const std::string ip = host("h0").registry_address;
    fleet_.network.disconnected.insert(ip);
    const std::string lost = dispatch_at("h0");
    fleet_.timers.advance(forwarding_time);
    fleet_.network.disconnected.erase(ip);
    LONGS_EQUAL(1, hosts_that_know(lost));
    dispatch_at("h0");
    fleet_.timers.advance(forwarding_time);
    LONGS_EQUAL(data_centres * hosts_each, hosts_that_know(lost));
}

TEST(host_registry, parts_of_a_prompt_are_announced_in_one_datagram) {
    fleet_.network.sent.clear();
    std::vector<engine_work> parts(4);
    for (std::size_t i = 0; i < parts.size(); ++i) {
        parts[i].key = 900;
        parts[i].engine = "engine-part-" + std::to_string(i);
        parts[i].dispatched_at = fleet_.timers.now();
    }
    host("h0").work_table.apply_own_works(parts);
    const std::string ip = host("h0").registry_address;
    for (const auto& [pair, count] : fleet_.network.sent) {
        LONGS_EQUAL(pair.first == ip ? 1 : 0, count);
    }
}

TEST(host_registry, waiting_long_prompt_is_known_to_all_hosts_immediately) {
    // Hosts that do not know each other's waiting prompts would choose the same engine once one is
    // free.
    engine_work waiting;
    waiting.key = 900;
    waiting.phase = work_phase::waiting;
    waiting.prefill_tokens = 300'000;
    waiting.dispatched_at = fleet_.timers.now() + seconds(6);
    host("h0").work_table.apply_own_works({waiting});
    fleet_.timers.advance(forwarding_time);
    for (const auto& [name, item] : fleet_.hosts) {
        engine_work later = waiting;
        later.key = 901;
        later.dispatched_at += seconds(1);
        LONGS_EQUAL(
            1, item->work_table.load("").prompts_waiting_before(later, fleet_.timers.now()).size());
    }
}

TEST(host_registry, senders_use_different_forwarders_of_a_data_centre) {
    std::set<std::string> forwarders;
    for (const auto& [name, item] : fleet_.hosts) {
        forwarders.insert(forwarder_of(name));
    }
    CHECK_TRUE(forwarders.size() > data_centres);
}

TEST(host_registry, work_is_known_within_a_second_after_the_forwarder_fails) {
    fleet_.network.disconnected.insert(host(forwarder_of("h0")).registry_address);
    const std::string engine = dispatch_at("h0");
    fleet_.timers.advance(milliseconds(1'050));
    LONGS_EQUAL(data_centres * hosts_each - 1, hosts_that_know(engine));
}

TEST(host_registry, another_host_forwards_after_the_first_one_is_silent) {
    const std::string first_forwarder = forwarder_of("h0");
    fleet_.network.disconnected.insert(host(first_forwarder).registry_address);
    fleet_.timers.advance(milliseconds(1'200));
    const std::string engine = dispatch_at("h0");
    fleet_.timers.advance(forwarding_time);
    LONGS_EQUAL(data_centres * hosts_each - 1, hosts_that_know(engine));
    CHECK_TRUE(forwarder_of("h0") != first_forwarder);
}

TEST(host_registry, hosts_stay_in_the_directory_after_a_forwarder_fails) {
    fleet_.network.disconnected.insert(host(forwarder_of("h0")).registry_address);
    for (int i = 0; i < 40; ++i) {
        fleet_.timers.advance(milliseconds(100));
        for (const auto& [name, item] : fleet_.hosts) {
            if (fleet_.network.disconnected.count(item->registry_address) == 0) {
                CHECK_TRUE(item->registry.hosts_for_callers().size() >=
                           data_centres * hosts_each - 1U);
            }
        }
    }
}

// Guards against hosts that learn of a part only from their own requests, one engine at a time.
TEST(host_registry, part_that_ends_engines_of_different_hosts_is_quarantined_everywhere) {
    for (int i = 0; i < 4; ++i) {
        const std::string engine = "e" + std::to_string(i);
        host("h" + std::to_string(i))
            .work_table.quarantine()
            .on_connection_ended({{engine, 0},
                                  static_cast<std::uint64_t>(i),
                                  {"bad"},
                                  fleet_.timers.now(),
                                  false,
                                  {}});
        for (const auto& [name, item] : fleet_.hosts) {
            item->work_table.quarantine().on_engine_gone({engine, 0}, fleet_.timers.now());
        }
        fleet_.timers.advance(milliseconds(200));
    }
    host("h5").work_table.quarantine().review(fleet_.timers.now());
    fleet_.timers.advance(milliseconds(20));
    for (const auto& [name, item] : fleet_.hosts) {
        CHECK_TRUE(item->work_table.quarantine().blocks({"bad"}, fleet_.timers.now()));
    }
}

// Guards against a limit that each host keeps by itself, so that the upstream gets it several
// times.
TEST(host_registry, requests_of_all_hosts_count_against_a_limit_that_one_host_was_told) {
    host("h0").work_table.rate_limits().on_answer("engine-1", 2.0, fleet_.timers.now());
    fleet_.timers.advance(milliseconds(20));
    dispatch_at("h1");
    fleet_.timers.advance(milliseconds(20));
    for (const auto& [name, item] : fleet_.hosts) {
        const upstream_rate_limits& limits = item->work_table.rate_limits();
        CHECK_FALSE(limits.accepts("engine-1", 0, fleet_.timers.now()));
        CHECK_TRUE(limits.accepts("engine-1", 0, fleet_.timers.now() + milliseconds(500)));
    }
}
