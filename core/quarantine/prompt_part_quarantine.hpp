#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/fleet/upstream_lifetime.hpp"
#include "core/quarantine/engine_end.hpp"
#include "core/quarantine/engine_end_proofs.hpp"
#include "core/quarantine/prompt_part_report.hpp"

namespace fuchsiaquay {

/// Finds parts of prompts that end every engine which begins to answer on them, and keeps requests
/// with such a part from the engines.
///
/// A part is quarantined if engines ended several times under requests with it, different ones
/// among them, and no host has seen a request with it answered. Ends that a quarantined part
/// explains do not count against the other parts of the same requests. Hosts exchange what they
/// observed, since each sees its own requests only.
///
/// Each process of an engine ends once, whether or not the next one has the same id. An end counts
/// once it is proved: nothing listens at the address, the entry was removed, or a later process has
/// replaced it.
class prompt_part_quarantine {
public:
    using change_handler = std::function<void()>;

    /// Records that an engine went on after it had begun to answer a request with `parts`.
    void on_answered(const std::vector<std::string>& parts, instant now);
    /// Records a request of this host whose connection to its engine ended.
    void on_connection_ended(engine_end end);
    /// Records that a process of an engine is gone: nothing listens at its address, or its entry
    /// was removed.
    void on_engine_gone(const upstream_lifetime& engine, instant now);
    /// Records that `engine` replaced an earlier process with the same id.
    void on_engine_restarted(const upstream_lifetime& engine, instant now);

    /// Draws conclusions from the observations. To be called periodically.
    /// @return the parts that are quarantined from now on
    std::vector<std::string> review(instant now);

    /// Whether a request with these parts must not be sent to an engine.
    bool blocks(const std::vector<std::string>& parts, instant now) const {
        return blocked_for(parts, now) > duration::zero();
    }
    /// Time for which a request with these parts is refused; zero if it is not.
    duration blocked_for(const std::vector<std::string>& parts, instant now) const;

    /// What this host tells the others.
    prompt_part_report report(instant now) const;
    /// Merges the report of another host.
    /// @return the parts that are quarantined from now on
    std::vector<std::string> merge(const prompt_part_report& report, instant now);
    /// Sets the handler that is called when other hosts should receive the report soon.
    void on_change(change_handler changed) { changed_ = std::move(changed); }
    /// Number of parts in quarantine.
    std::size_t size() const noexcept { return quarantined_.size(); }
    /// Number of requests whose connection ended and whose engine is known to have ended too.
    std::size_t proved_ends() const;
    /// Number of requests whose connection ended and whose engine may still run.
    std::size_t unproved_ends() const { return observations_.size() - proved_ends(); }

private:
    struct observation {
        engine_end end;
        bool own = false;
        /// When this host learned of it.
        instant known_at{};
        /// Whether the process is known to have ended with the connection.
        bool proved = false;
    };
    /// Ends of engines under one part.
    struct suspicion {
        /// Processes of engines and the time of their ends.
        std::map<upstream_lifetime, instant> engines;
        std::vector<const engine_end*> ends;
        std::set<std::uint64_t> subjects;
        instant known_since = instant::max();
    };
    using suspicions = std::map<std::string, suspicion>;

    bool was_answered(const std::string& part) const { return answered_.count(part) > 0; }
    void note_answered(const std::string& part, instant now);
    bool proves(const engine_end& end) const;
    /// Marks the observations of `engine` whose ends are proved by now.
    /// @return whether there is a new one
    bool mark_proved(const std::string& engine);
    suspicions collect_suspicions() const;
    /// Number of separate moments at which engines ended.
    static std::size_t count_ends(const suspicion& item);
    /// Processes that got a request after another one had ended under it, so that both did not end
    /// at the same moment.
    static std::set<upstream_lifetime> find_repeated(const suspicion& item);
    static const std::string* find_most_suspect(const suspicions& items, instant now);
    void settle_complete_answers(instant now);
    void remove_expired(instant now);
    void notify() const;

    /// Observations by process and subject.
    std::map<std::pair<upstream_lifetime, std::uint64_t>, observation> observations_;
    engine_end_proofs proofs_;
    /// Parts with an answer, and the time of the latest one.
    std::map<std::string, instant> answered_;
    /// Parts that other hosts suspect or have in quarantine although this host has seen an answer.
    std::map<std::string, instant> disputed_;
    /// Parts in quarantine, and until when.
    std::map<std::string, instant> quarantined_;
    change_handler changed_;
};

}  // namespace fuchsiaquay
