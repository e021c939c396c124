#include "tests/scenarios/runner/scenario.hpp"

#include <algorithm>
#include <fstream>

#include "core/error/operation_error.hpp"

namespace fuchsiaquay::scenarios {

namespace {
constexpr std::size_t printed_log_bytes = 3000;
constexpr std::int64_t call_ids_per_load = 1000000;
}  // namespace

scenario::scenario(std::string build_folder, std::string run_folder, std::uint64_t seed)
    : build_folder_(std::move(build_folder)), run_folder_(std::move(run_folder)), seed_(seed) {}

void scenario::start(const std::string& name, const std::string& executable,
                     const std::vector<std::string>& arguments) {
    std::vector<std::string> line{build_folder_ + "/" + executable};
    line.insert(line.end(), arguments.begin(), arguments.end());
    processes_.erase(name);
    processes_[name] = std::make_unique<child_process>(line, run_folder_ + "/" + name + ".log");
    events_.note("start " + name);
}

child_process& scenario::process(const std::string& name) {
    const auto found = processes_.find(name);
    if (found == processes_.end()) {
        throw operation_error("find process", name, "was never started");
    }
    return *found->second;
}

stand_ins::cut_proxy& scenario::add_link(const std::string& name, std::uint16_t target_port) {
    links_[name] = std::make_unique<stand_ins::cut_proxy>(0, target_port);
    return *links_[name];
}

stand_ins::cut_proxy& scenario::link(const std::string& name) {
    const auto found = links_.find(name);
    if (found == links_.end()) {
        throw operation_error("find link", name, "was never added");
    }
    return *found->second;
}

std::string scenario::write_file(const std::string& name, const std::string& text) const {
    std::string path = run_folder_ + "/" + name;
    std::ofstream(path) << text;
    return path;
}

std::size_t scenario::offer(const load_profile& profile) {
    const std::size_t number = loads_.size();
    const std::int64_t first_id = static_cast<std::int64_t>(number) * call_ids_per_load + 1;
    loads_.push_back(std::make_unique<load>(
        profile, nodes_, seed_ + static_cast<std::uint64_t>(first_id), first_id));
    events_.note("offer " + profile.kind + " load " + std::to_string(number));
    return number;
}

load& scenario::load_of(std::size_t number) {
    if (number >= loads_.size()) {
        throw operation_error("find load", std::to_string(number), "was never offered");
    }
    return *loads_[number];
}

history scenario::complete_history() const {
    history whole = facts_;
    for (const auto& each : loads_) {
        const std::vector<call_record> calls = each->calls();
        whole.calls.insert(whole.calls.end(), calls.begin(), calls.end());
        if (!each->done()) {
            call_record open;
            open.id = -1;
            whole.calls.push_back(open);
        }
    }
    return whole;
}

void scenario::print_logs(std::ostream& out) {
    for (const auto& [name, child] : processes_) {
        const std::string text = child->output();
        out << "--- " << name
            << (child->running() ? " (running)" : " (ended " + std::to_string(child->exit_code()))
            << '\n'
            << text.substr(text.size() - std::min(text.size(), printed_log_bytes)) << '\n';
    }
}

}  // namespace fuchsiaquay::scenarios
