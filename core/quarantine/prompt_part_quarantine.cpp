#include "core/quarantine/prompt_part_quarantine.hpp"

#include <algorithm>
#include <cstddef>
#include <limits>

#include "core/time/remove_older.hpp"

namespace fuchsiaquay {

namespace {

/// Ends of engines under a part, at separate moments, from which it is quarantined. Fewer occur by
/// chance when engines end for another reason.
constexpr std::size_t required_ends = 4;
/// Different requests among them, because one request may be repeated while engines end for another
/// reason.
constexpr std::size_t required_subjects = 2;
/// Engines that end within this time, such as those of a rack that loses power, count once, unless
/// a request was repeated at one of them after it had ended the other.
constexpr duration same_moment = std::chrono::milliseconds(100);
/// Time for other hosts to report that a suspected part was answered.
constexpr duration dispute_time = std::chrono::milliseconds(150);
/// Time after the end of a connection within which the end of its engine is proved, if it ended.
/// The entry of an engine that ended remains listed for some seconds, or until the store is back.
constexpr duration proof_time = std::chrono::seconds(15);
/// Time before the end of a connection at which the end of its engine may already have been proved.
constexpr duration proof_slack = std::chrono::seconds(1);
/// Time after which an answer that ended with its connection counts, unless its engine ended too.
constexpr duration settle_time = std::chrono::seconds(6);
/// Lifetime of observations and answers.
constexpr duration memory_time = std::chrono::minutes(10);
constexpr duration quarantine_time = std::chrono::minutes(10);
/// Bounds of what is stored and reported.
constexpr std::size_t max_observations = 1'024;
constexpr std::size_t max_answered = 16'384;
constexpr std::size_t max_reported = 48;

void remove_older_half(std::map<std::string, instant>& items) {
    std::vector<instant> times;
    times.reserve(items.size());
    for (const auto& [key, time] : items) {
        times.push_back(time);
    }
    const auto middle = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
    std::nth_element(times.begin(), middle, times.end());
    remove_older(items, *middle);
}

}  // namespace

void prompt_part_quarantine::on_answered(const std::vector<std::string>& parts, instant now) {
    for (const std::string& part : parts) {
        const bool was_quarantined = quarantined_.count(part) > 0;
        note_answered(part, now);
        if (was_quarantined) {
            disputed_[part] = now;
            notify();
        }
    }
}

void prompt_part_quarantine::note_answered(const std::string& part, instant now) {
    answered_[part] = now;
    if (answered_.size() > max_answered) {
        remove_older_half(answered_);
    }
    quarantined_.erase(part);
}

void prompt_part_quarantine::on_connection_ended(engine_end end) {
    if (end.parts.empty() || observations_.size() >= max_observations) {
        return;
    }
    const instant now = end.ended_at;
    const bool suspects_new =
        !std::all_of(end.parts.begin(), end.parts.end(),
                     [this](const std::string& part) { return was_answered(part); });
    auto key = std::make_pair(end.engine, end.subject);
    const bool proved = proves(end);
    observations_[std::move(key)] = {std::move(end), true, now, proved};
    if (suspects_new) {
        notify();
    }
}

void prompt_part_quarantine::on_engine_gone(const upstream_lifetime& engine, instant now) {
    proofs_.remove_older(now - memory_time);
    proofs_.on_gone(engine, now);
    if (mark_proved(engine.id)) {
        notify();
    }
}

void prompt_part_quarantine::on_engine_restarted(const upstream_lifetime& engine, instant now) {
    proofs_.remove_older(now - memory_time);
    proofs_.on_restarted(engine, now);
    if (mark_proved(engine.id)) {
        notify();
    }
}

bool prompt_part_quarantine::proves(const engine_end& end) const {
    return proofs_.proved_between(end.engine, end.ended_at - proof_slack,
                                  end.ended_at + proof_time);
}

bool prompt_part_quarantine::mark_proved(const std::string& engine) {
    bool any_new = false;
    const upstream_lifetime first{engine, std::numeric_limits<std::int64_t>::min()};
    for (auto item = observations_.lower_bound({first, 0});
         item != observations_.end() && item->first.first.id == engine; ++item) {
        observation& known = item->second;
        if (!known.proved && proves(known.end)) {
            known.proved = true;
            any_new = true;
        }
    }
    return any_new;
}

void prompt_part_quarantine::settle_complete_answers(instant now) {
    for (auto item = observations_.begin(); item != observations_.end();) {
        const engine_end& end = item->second.end;
        const bool settled =
            end.looked_complete && !item->second.proved && now - end.ended_at > settle_time;
        if (settled && item->second.own) {
            on_answered(end.parts, now);
        }
        item = settled ? observations_.erase(item) : std::next(item);
    }
}

void prompt_part_quarantine::remove_expired(instant now) {
    const instant oldest = now - memory_time;
    proofs_.remove_older(oldest);
    remove_older(answered_, oldest);
    remove_older(disputed_, oldest);
    remove_older(quarantined_, now);
    for (auto item = observations_.begin(); item != observations_.end();) {
        const engine_end& end = item->second.end;
        const bool outdated =
            end.ended_at < oldest || (!item->second.proved && now - end.ended_at > proof_time);
        item = outdated ? observations_.erase(item) : std::next(item);
    }
}

prompt_part_quarantine::suspicions prompt_part_quarantine::collect_suspicions() const {
    std::set<upstream_lifetime> explained;
    for (const auto& [key, item] : observations_) {
        const auto quarantined = [this](const std::string& part) {
            return quarantined_.count(part) > 0;
        };
        if (std::any_of(item.end.parts.begin(), item.end.parts.end(), quarantined)) {
            explained.insert(item.end.engine);
        }
    }
    suspicions result;
    for (const auto& [key, item] : observations_) {
        if (explained.count(item.end.engine) > 0 || !item.proved) {
            continue;
        }
        for (const std::string& part : item.end.parts) {
            if (was_answered(part)) {
                continue;
            }
            suspicion& known = result[part];
            known.engines.emplace(item.end.engine, item.end.ended_at);
            known.ends.push_back(&item.end);
            known.subjects.insert(item.end.subject);
            known.known_since = std::min(known.known_since, item.known_at);
        }
    }
    return result;
}

std::size_t prompt_part_quarantine::count_ends(const suspicion& item) {
    const std::set<upstream_lifetime> repeated = find_repeated(item);
    std::vector<std::pair<instant, bool>> times;
    for (const auto& [engine, ended_at] : item.engines) {
        times.emplace_back(ended_at, repeated.count(engine) > 0);
    }
    std::sort(times.begin(), times.end());
    std::size_t count = 0;
    instant moment{};
    for (const auto& [time, separate] : times) {
        if (count == 0 || separate || time - moment > same_moment) {
            ++count;
            moment = time;
        }
    }
    return count;
}

std::set<upstream_lifetime> prompt_part_quarantine::find_repeated(const suspicion& item) {
    std::map<std::uint64_t, const engine_end*> first_ends;
    for (const engine_end* end : item.ends) {
        const engine_end*& first = first_ends.emplace(end->subject, end).first->second;
        first = end->ended_at < first->ended_at ? end : first;
    }
    std::set<upstream_lifetime> result;
    for (const engine_end* end : item.ends) {
        if (end->sent_after(*first_ends.at(end->subject))) {
            result.insert(end->engine);
        }
    }
    return result;
}

const std::string* prompt_part_quarantine::find_most_suspect(const suspicions& items, instant now) {
    const std::string* result = nullptr;
    std::size_t most = required_ends - 1;
    for (const auto& [part, item] : items) {
        const bool disputable = now - item.known_since < dispute_time;
        if (disputable || item.subjects.size() < required_subjects || count_ends(item) <= most) {
            continue;
        }
        most = count_ends(item);
        result = &part;
    }
    return result;
}

std::vector<std::string> prompt_part_quarantine::review(instant now) {
    if (observations_.empty() && quarantined_.empty()) {
        return {};
    }
    settle_complete_answers(now);
    remove_expired(now);
    std::vector<std::string> added;
    while (true) {
        const suspicions items = collect_suspicions();
        const std::string* most_suspect = find_most_suspect(items, now);
        if (most_suspect == nullptr) {
            break;
        }
        // Parts that were at the same engines, such as those that only these requests have, cannot
        // be told apart.
        const suspicion& reference = items.at(*most_suspect);
        for (const auto& [part, item] : items) {
            if (item.engines == reference.engines) {
                quarantined_[part] = now + quarantine_time;
                added.push_back(part);
            }
        }
    }
    if (!added.empty()) {
        notify();
    }
    return added;
}

duration prompt_part_quarantine::blocked_for(const std::vector<std::string>& parts,
                                             instant now) const {
    duration result{};
    for (const std::string& part : parts) {
        const auto found = quarantined_.find(part);
        if (found != quarantined_.end()) {
            result = std::max(result, found->second - now);
        }
    }
    return result;
}

std::size_t prompt_part_quarantine::proved_ends() const {
    return static_cast<std::size_t>(
        std::count_if(observations_.begin(), observations_.end(),
                      [](const auto& item) { return item.second.proved; }));
}

prompt_part_report prompt_part_quarantine::report(instant now) const {
    prompt_part_report result;
    std::vector<const observation*> recent;
    for (const auto& [key, item] : observations_) {
        if (item.own) {
            recent.push_back(&item);
        }
    }
    std::sort(recent.begin(), recent.end(), [](const observation* a, const observation* b) {
        return a->end.ended_at > b->end.ended_at;
    });
    for (const observation* item : recent) {
        engine_end end = item->end;
        end.parts.erase(
            std::remove_if(end.parts.begin(), end.parts.end(),
                           [this](const std::string& part) { return was_answered(part); }),
            end.parts.end());
        if (!end.parts.empty() && result.ends.size() < max_reported) {
            result.ends.push_back(std::move(end));
        }
    }
    std::set<upstream_lifetime> gone;
    for (const auto& [key, item] : observations_) {
        const bool recent_end = now - item.end.ended_at < proof_time;
        if (recent_end && item.proved && gone.size() < max_reported) {
            gone.insert(item.end.engine);
        }
    }
    result.gone_engines.assign(gone.begin(), gone.end());
    for (const auto& [part, since] : disputed_) {
        if (was_answered(part) && result.answered.size() < max_reported) {
            result.answered.push_back(part);
        }
    }
    for (const auto& [part, until] : quarantined_) {
        if (until > now && result.quarantined.size() < max_reported) {
            result.quarantined.push_back({part, until});
        }
    }
    return result;
}

std::vector<std::string> prompt_part_quarantine::merge(const prompt_part_report& report,
                                                       instant now) {
    for (const std::string& part : report.answered) {
        note_answered(part, now);
    }
    bool newly_disputed = false;
    const auto dispute = [this, now, &newly_disputed](const std::string& part) {
        if (was_answered(part)) {
            newly_disputed = disputed_.emplace(part, now).second || newly_disputed;
        }
        return was_answered(part);
    };
    for (const engine_end& end : report.ends) {
        std::for_each(end.parts.begin(), end.parts.end(), dispute);
        if (observations_.size() < max_observations && !end.parts.empty()) {
            observations_.try_emplace({end.engine, end.subject},
                                      observation{end, false, now, proves(end)});
        }
    }
    for (const upstream_lifetime& engine : report.gone_engines) {
        proofs_.on_gone(engine, now);
        mark_proved(engine.id);
    }
    std::vector<std::string> added;
    for (const quarantined_part& part : report.quarantined) {
        if (!dispute(part.id) && quarantined_.emplace(part.id, part.until).second) {
            added.push_back(part.id);
        }
    }
    if (newly_disputed) {
        notify();
    }
    return added;
}

void prompt_part_quarantine::notify() const {
    if (changed_) {
        changed_();
    }
}

}  // namespace fuchsiaquay
