#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "tests/scenarios/checker/history.hpp"
#include "tests/scenarios/runner/child_process.hpp"
#include "tests/scenarios/runner/entrypoint.hpp"
#include "tests/scenarios/runner/load.hpp"
#include "tests/scenarios/runner/port_claims.hpp"
#include "tests/scenarios/runner/timeline.hpp"
#include "tests/stand_ins/cut_proxy/cut_proxy.hpp"

namespace fuchsiaquay::scenarios {

/// The processes, links, loads and facts of one scenario, by the names given in its script. Not
/// thread safe. An unknown name throws a `operation_error`.
class scenario {
public:
    /// @param build_folder  where the executables are
    /// @param run_folder    existing folder for settings and logs of the processes
    scenario(std::string build_folder, std::string run_folder, std::uint64_t seed);

    /// Starts `executable` (a path under the build folder) as process `name`.
    void start(const std::string& name, const std::string& executable,
               const std::vector<std::string>& arguments);
    child_process& process(const std::string& name);

    stand_ins::cut_proxy& add_link(const std::string& name, std::uint16_t target_port);
    stand_ins::cut_proxy& link(const std::string& name);

    /// A port on 127.0.0.1 for one process of this run.
    std::uint16_t free_port() { return ports_.take(); }

    /// Writes a file into the run folder and returns its path.
    std::string write_file(const std::string& name, const std::string& text) const;

    void set_entrypoints(std::vector<entrypoint> nodes) { nodes_ = std::move(nodes); }

    /// Starts a load and returns its number.
    std::size_t offer(const load_profile& profile);
    load& load_of(std::size_t number);

    /// Facts that the script has collected; `check` adds the calls of the loads.
    history& facts() { return facts_; }
    history complete_history() const;

    timeline& events() { return events_; }
    const timeline& events() const { return events_; }
    std::uint64_t seed() const { return seed_; }

    /// Last lines of the log of each process, for the report of a failed run.
    void print_logs(std::ostream& out);

private:
    const std::string build_folder_;
    const std::string run_folder_;
    const std::uint64_t seed_;
    port_claims ports_;
    timeline events_;
    history facts_;
    std::vector<entrypoint> nodes_;
    std::map<std::string, std::unique_ptr<stand_ins::cut_proxy>> links_;
    std::map<std::string, std::unique_ptr<child_process>> processes_;
    std::vector<std::unique_ptr<load>> loads_;
};

}  // namespace fuchsiaquay::scenarios
