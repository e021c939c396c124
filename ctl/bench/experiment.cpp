#include "ctl/bench/experiment.hpp"

#include <memory>
#include <random>
#include <string>
#include <unordered_map>

#include "core/hashing/rendezvous.hpp"
#include "ctl/bench/event_loop.hpp"
#include "ctl/bench/simulated_entry.hpp"
#include "ctl/bench/simulated_upstream.hpp"
#include "ctl/bench/workload.hpp"

namespace fuchsiaquay {
namespace {

/// Number of entry hosts that serve one customer.
constexpr std::size_t hosts_per_customer = 3;
constexpr duration cache_event_interval = std::chrono::seconds(1);
/// Time after the last deadline in which releases and orphan detection complete.
constexpr duration drain_time = std::chrono::seconds(20);

/// Creates the entry hosts and upstreams of one run and connects them.
class experiment {
public:
    explicit experiment(const experiment_settings& settings) : settings_(settings) {}

    experiment_result run() {
        for (workload_request& request :
             generate_workload(settings_.profile, settings_.scenario, settings_.seed)) {
            request_record record;
            record.request = request;
            result_.records.push_back(record);
        }
        make_hosts();
        const instant end = last_deadline() + drain_time;
        make_upstreams(end);
        make_entries(end);
        schedule_arrivals();
        loop_.run_until(end);
        collect();
        return std::move(result_);
    }

private:
    void make_hosts() {
        for (std::size_t i = 0; i < settings_.profile.entry_hosts; ++i) {
            hosts_.emplace_back("host-" + std::to_string(i));
        }
    }

    instant last_deadline() const {
        instant last{};
        for (const request_record& record : result_.records) {
            last = std::max(last, record.request.arrival + record.request.deadline);
        }
        return last;
    }

    void make_upstreams(instant end) {
        const std::size_t count =
            settings_.profile.assistant_engines + settings_.profile.ordering_engines;
        for (std::size_t i = 0; i < count; ++i) {
            const upstream_id id("engine-" + std::to_string(i));
            const host_id owner = rendezvous_owner(id.value(), hosts_);
            upstreams_.push_back(std::make_unique<simulated_upstream>(loop_, settings_, id, owner,
                                                                      settings_.seed * 100 + i));
            owners_.push_back(owner);
            upstreams_.back()->on_reply([this](const addressed_reply& reply) {
                loop_.run_after(settings_.latency, [this, reply] {
                    entries_.at(reply.to.value())->on_reply(reply.reply);
                });
            });
            upstreams_.back()->on_engine_event([this](const engine_event& event) {
                loop_.run_after(settings_.latency, [this, event] {
                    for (auto& [name, entry] : entries_) {
                        entry->on_engine_event(event);
                    }
                });
            });
            upstreams_.back()->start(end);
        }
    }

    void make_entries(instant end) {
        for (const host_id& host : hosts_) {
            entries_[host.value()] =
                std::make_unique<simulated_entry>(loop_, settings_, host, upstreams_, result_);
        }
        for (std::size_t i = 0; i < upstreams_.size(); ++i) {
            read_cache_events(i, end);
        }
    }

    void read_cache_events(std::size_t upstream, instant end) {
        loop_.run_after(cache_event_interval, [this, upstream, end] {
            entries_.at(owners_[upstream].value())->read_cache_events(*upstreams_[upstream]);
            if (loop_.now() < end) {
                read_cache_events(upstream, end);
            }
        });
    }

    void schedule_arrivals() {
        std::mt19937_64 random(settings_.seed);
        for (const request_record& record : result_.records) {
            const std::string& customer = settings_.profile.customers[record.request.customer].name;
            const std::vector<host_id> hosts =
                rendezvous_order(customer, hosts_, hosts_per_customer);
            simulated_entry* entry = entries_.at(hosts[random() % hosts.size()].value()).get();
            const std::size_t number = record.request.number;
            loop_.run_at(record.request.arrival, [entry, number] { entry->handle(number); });
        }
    }

    void collect() {
        duration error{};
        std::int64_t estimates = 0;
        for (const auto& upstream : upstreams_) {
            result_.leaked_memory_tokens += upstream->used_tokens();
            const estimate_error& own = upstream->queue().start_error();
            error += own.mean_absolute() * own.count();
            estimates += own.count();
        }
        result_.start_estimate_error = estimates > 0 ? error / estimates : duration::zero();
        for (const auto& [name, entry] : entries_) {
            result_.output_estimate_error +=
                entry->output_estimate_error() / static_cast<double>(entries_.size());
        }
    }

    const experiment_settings& settings_;
    event_loop loop_;
    experiment_result result_;
    std::vector<host_id> hosts_;
    std::vector<host_id> owners_;
    std::vector<std::unique_ptr<simulated_upstream>> upstreams_;
    std::unordered_map<std::string, std::unique_ptr<simulated_entry>> entries_;
};

}  // namespace

experiment_result run_experiment(const experiment_settings& settings) {
    return experiment(settings).run();
}

}  // namespace fuchsiaquay
