#include "core/quarantine/engine_end_proofs.hpp"

#include "core/time/remove_older.hpp"

namespace fuchsiaquay {

void engine_end_proofs::on_gone(const upstream_lifetime& engine, instant now) {
    gone_[engine] = now;
}

void engine_end_proofs::on_restarted(const upstream_lifetime& engine, instant now) {
    restarted_.emplace(engine, now);
}

bool engine_end_proofs::proved_between(const upstream_lifetime& engine, instant first,
                                       instant last) const {
    const auto between = [first, last](instant time) { return first <= time && time <= last; };
    const auto gone = gone_.find(engine);
    if (gone != gone_.end() && between(gone->second)) {
        return true;
    }
    const auto next = restarted_.upper_bound(engine);
    return next != restarted_.end() && next->first.id == engine.id && between(next->second);
}

void engine_end_proofs::remove_older(instant oldest) {
    fuchsiaquay::remove_older(gone_, oldest);
    fuchsiaquay::remove_older(restarted_, oldest);
}

}  // namespace fuchsiaquay
