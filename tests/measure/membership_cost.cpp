/// @file
/// Cost of the membership protocol for each host by fleet size, in virtual time: bytes and frames
/// sent and received, CPU time of logic and codec, detection time, false suspicions.
///     membership_cost HOSTS DATA_CENTRES idle|churn|pauses [SEED]
/// Bytes are those of the TCP payload, with the acknowledgement frame that each probe causes.

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <map>
#include <string>

#include "drivers/frames/frame_codec.hpp"
#include "tests/core/membership/virtual_fleet.hpp"

using namespace fuchsiaquay;
using std::chrono::seconds;

namespace {

struct traffic {
    double bytes = 0;
    double frames = 0;
};

class meter {
public:
    explicit meter(virtual_fleet& fleet) : fleet_(fleet) {
        fleet_.on_send = [this](const host_id& from, const outgoing_gossip& out) {
            count(from, out);
        };
        fleet_.on_change = [this](const host_id&, const member_change& change) {
            suspicions_ += change.member.state == member_state::suspect;
            deaths_ += change.member.state == member_state::dead;
        };
    }

    void reset() {
        sent_.clear();
        received_.clear();
        by_kind_.clear();
        suspicions_ = 0;
        deaths_ = 0;
        start_ = fleet_.now;
        processor_ = std::clock();
    }

    void report(const char* label) const {
        const double span = to_seconds(fleet_.now - start_);
        const double processor = static_cast<double>(std::clock() - processor_) / CLOCKS_PER_SEC;
        double mean = 0;
        double highest = 0;
        double frames = 0;
        for (const auto& [host, total] : sent_) {
            const auto in = received_.find(host);
            const double both = total.bytes + (in == received_.end() ? 0 : in->second.bytes);
            mean += both / span;
            highest = std::max(highest, both / span);
            frames += total.frames / span;
        }
        const double hosts = static_cast<double>(sent_.size());
        std::printf(
            "%s hosts=%.0f sent+received_bytes_per_s mean=%.0f max=%.0f "
            "frames_sent_per_s=%.2f cpu_share=%.4f%% suspicions=%d deaths=%d\n",
            label, hosts, mean / hosts, highest, frames / hosts, 100 * processor / span / hosts,
            suspicions_, deaths_);
        static const char* const names[] = {"ping", "ack", "ping_request", "join", "join_reply"};
        for (const auto& [kind, total] : by_kind_) {
            std::printf("  %s: %.3f frames/s a host, %.0f bytes each\n",
                        names[static_cast<int>(kind)], total.frames / span / hosts,
                        total.bytes / total.frames);
        }
    }

private:
    void count(const host_id& from, const outgoing_gossip& out) {
        peer_frame frame;
        frame.sender = from;
        frame.receiver = out.to.host;
        frame.peer_port = out.to.peer_port;
        frame.incarnation = out.to.incarnation;
        frame.sequence = ++sequence_;
        frame.acknowledged = sequence_;
        frame.message = out.message;
        const std::string bytes = codec_.encode(frame);
        // The receiver decodes the frame.
        codec_.decode(std::string_view(bytes).substr(frame_codec::length_bytes));
        add(from, out.to.host, bytes.size());
        by_kind_[out.message.kind].frames += 1;
        by_kind_[out.message.kind].bytes += static_cast<double>(bytes.size());
        if (out.message.kind == gossip_kind::ack) {
            // The last frame of an exchange is acknowledged by a bare frame.
            frame.message.reset();
            add(out.to.host, from, codec_.encode(frame).size());
        }
    }

    void add(const host_id& from, const host_id& to, std::size_t size) {
        sent_[from].bytes += static_cast<double>(size);
        sent_[from].frames += 1;
        received_[to].bytes += static_cast<double>(size);
    }

    virtual_fleet& fleet_;
    frame_codec codec_{cluster_keys{"measure", ""}};
    std::map<host_id, traffic> sent_;
    std::map<host_id, traffic> received_;
    std::uint64_t sequence_ = 0;
    std::map<gossip_kind, traffic> by_kind_;
    int suspicions_ = 0;
    int deaths_ = 0;
    instant start_{};
    std::clock_t processor_ = 0;
};

/// Replaces one host in ten: one every two seconds, or faster so that all take a minute.
void replace_tenth(virtual_fleet& fleet, int hosts, int data_centres) {
    const int count = std::max(1, hosts / 10);
    for (int i = 0; i < count; ++i) {
        const int index = 3 + i;
        fleet.logic(index).leave(fleet.now);
        fleet.run(duration(seconds(60)) / count / 2);
        fleet.logic(index).stop(fleet.now);
        fleet.run(std::chrono::milliseconds(200));
        fleet.start(index, index % data_centres, 100000 + static_cast<std::uint64_t>(i));
        fleet.run(duration(seconds(60)) / count / 2);
    }
}

void pause_tenths(virtual_fleet& fleet, int hosts) {
    for (int round = 0; round < 30; ++round) {
        for (int i = 0; i < std::max(1, hosts / 10); ++i) {
            fleet.pause((round * 7 + i * 10) % hosts, seconds(2));
        }
        fleet.run(seconds(4));
    }
}

void crash_one_by_one(virtual_fleet& fleet, int hosts) {
    double sum = 0;
    double worst = 0;
    constexpr int crashes = 5;
    for (int i = 0; i < crashes; ++i) {
        fleet.crash(hosts - 1 - i);
        const double took =
            to_seconds(fleet.run_until([&] { return fleet.converged(); }, seconds(60)));
        sum += took;
        worst = std::max(worst, took);
    }
    std::printf("detection everywhere: mean=%.1f s worst=%.1f s of %d crashes\n", sum / crashes,
                worst, crashes);
}

}  // namespace

int main(int argc, char** argv) {
    if (argc < 4) {
        std::fprintf(stderr, "membership_cost HOSTS DATA_CENTRES idle|churn|pauses [SEED]\n");
        return 2;
    }
    const int hosts = std::atoi(argv[1]);
    const int data_centres = std::atoi(argv[2]);
    const std::string mode = argv[3];
    virtual_fleet fleet(argc > 4 ? std::strtoull(argv[4], nullptr, 10) : 1);
    fleet.add_hosts(hosts, data_centres);
    const double joined =
        to_seconds(fleet.run_until([&] { return fleet.converged(); }, seconds(300)));
    std::printf("cold start: %.1f s until every host lists every other\n", joined);
    fleet.run(seconds(60));
    meter counted(fleet);
    counted.reset();
    if (mode == "churn") {
        replace_tenth(fleet, hosts, data_centres);
    } else if (mode == "pauses") {
        pause_tenths(fleet, hosts);
    } else {
        fleet.run(seconds(120));
    }
    counted.report(mode.c_str());
    if (mode == "idle") {
        crash_one_by_one(fleet, hosts);
    }
    return 0;
}
