#include "core/journal/journal_outcome.hpp"

#include <utility>

#include "core/hashing/hash.hpp"

namespace fuchsiaquay {

journal_outcome journal_outcome::answered(std::uint16_t status, std::string content_type,
                                          std::string body) {
    journal_outcome outcome;
    outcome.known = true;
    outcome.status = status;
    outcome.content_type = std::move(content_type);
    outcome.body_digest = stable_hash(body);
    outcome.body = std::move(body);
    outcome.body_kept = true;
    return outcome;
}

journal_outcome journal_outcome::uncertain() {
    return {};
}

journal_outcome journal_outcome::without_body() const {
    journal_outcome outcome = *this;
    outcome.body.clear();
    outcome.content_type.clear();
    outcome.body_kept = false;
    return outcome;
}

}  // namespace fuchsiaquay
