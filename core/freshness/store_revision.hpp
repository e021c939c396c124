#pragma once

#include <cstdint>

namespace fuchsiaquay {

/// A store that is restored from an older copy gives out the same numbers again. The revisions that
/// hosts keep and compare therefore contain an era, which rises with each restoration, so that
/// every revision is greater than all of earlier eras. Era 0 is that of a store which names none,
/// and of hosts of earlier versions, which know of no eras. The decimal digits of both can be read
/// in logs: era 3 and number 192 are 3000000000192.
constexpr std::int64_t revisions_per_era = 1'000'000'000'000;
constexpr std::int64_t max_store_era = INT64_MAX / revisions_per_era - 1;

constexpr bool is_store_revision(std::int64_t era, std::int64_t number) {
    return era >= 0 && era <= max_store_era && number >= 0 && number < revisions_per_era;
}
/// Only for values that are a revision.
constexpr std::int64_t make_store_revision(std::int64_t era, std::int64_t number) {
    return era * revisions_per_era + number;
}
constexpr std::int64_t era_of(std::int64_t revision) {
    return revision / revisions_per_era;
}
/// The revision as the store knows it.
constexpr std::int64_t revision_number(std::int64_t revision) {
    return revision % revisions_per_era;
}
constexpr bool same_era(std::int64_t a, std::int64_t b) {
    return era_of(a) == era_of(b);
}
/// The revision that a host of an earlier version means, which knows of no eras: one of the era of
/// `reference`. Other revisions, and 0, stay as they are.
constexpr std::int64_t with_era_of(std::int64_t reference, std::int64_t revision) {
    return revision == 0 || era_of(revision) != 0
               ? revision
               : make_store_revision(era_of(reference), revision);
}

}  // namespace fuchsiaquay
