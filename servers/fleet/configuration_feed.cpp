#include "servers/fleet/configuration_feed.hpp"

#include <algorithm>
#include <optional>
#include <utility>

#include "core/error/operation_error.hpp"
#include "core/fleet/fleet_configuration.hpp"
#include "core/fleet/text_delta.hpp"
#include "core/freshness/store_revision.hpp"
#include "servers/decision_log.hpp"
#include "servers/fleet/configuration_codec.hpp"

namespace fuchsiaquay {

namespace {

/// Number of texts that are kept as bases of deltas for hosts that are some versions behind.
constexpr std::size_t max_kept_texts = 6;

}  // namespace

configuration_feed::configuration_feed(const configuration_codec& codec, decision_log& log,
                                       std::string key)
    : codec_(codec), log_(log), key_(std::move(key)) {}

void configuration_feed::on_snapshot(const std::vector<stored_value>& values,
                                     std::int64_t /*revision*/, bool /*after_outage*/) {
    for (const stored_value& value : values) {
        if (value.key == key_) {
            apply(value);
        }
    }
}

void configuration_feed::on_changes(const std::vector<watch_event>& events,
                                    std::int64_t /*revision*/) {
    // Each value is a complete configuration, so only the newest one is relevant.
    for (auto event = events.rbegin(); event != events.rend(); ++event) {
        if (event->value.key == key_ && !event->erased) {
            apply(event->value);
            return;
        }
    }
}

void configuration_feed::apply(const stored_value& value) {
    if (value.revision <= revision_) {
        if (value.revision < revision_) {
            log_.write(decision_log::level::warning, "configuration_ignored",
                       {{"revision", std::to_string(value.revision)},
                        {"known_revision", std::to_string(revision_)}});
        }
        return;
    }
    std::shared_ptr<const fleet_configuration> decoded;
    try {
        decoded = codec_.decode(value.value);
    } catch (const operation_error& error) {
        log_.write(decision_log::level::error, "configuration_unreadable",
                   {{"revision", std::to_string(value.revision)}, {"reason", error.what()}});
        return;
    }
    revision_ = value.revision;
    const bool older = current_ && decoded->version() < current_->version();
    // A store that was restored may hold an older version for a while. Other hosts then receive the
    // newest one under the revision of the older.
    texts_.push_back({value.revision, older ? texts_.back().text : value.value});
    if (texts_.size() > max_kept_texts) {
        texts_.pop_front();
    }
    if (older) {
        log_.write(decision_log::level::warning, "configuration_older_in_store",
                   {{"version", std::to_string(decoded->version())},
                    {"known_version", std::to_string(current_->version())},
                    {"revision", std::to_string(value.revision)}});
    }
    if (current_ && decoded->version() <= current_->version()) {
        return;
    }
    log_.write(decision_log::level::info, "configuration_applied",
               {{"version", std::to_string(decoded->version())},
                {"revision", std::to_string(value.revision)},
                {"routes", std::to_string(decoded->route_count())}});
    current_ = std::move(decoded);
    if (change_handler_) {
        change_handler_(*current_);
    }
}

const configuration_feed::version_text* configuration_feed::find_text(std::int64_t revision) const {
    const auto found =
        std::find_if(texts_.begin(), texts_.end(),
                     [revision](const version_text& item) { return item.revision == revision; });
    return found == texts_.end() ? nullptr : &*found;
}

configuration_answer configuration_feed::answer_for(std::int64_t known) const {
    const std::int64_t known_revision = with_era_of(revision_, known);
    if (texts_.empty()) {
        return {};
    }
    const version_text& current = texts_.back();
    const version_text* base = find_text(known_revision);
    if (base == nullptr || known_revision == current.revision) {
        return {current.revision, 0, current.text};
    }
    if (cached_answer_.revision != current.revision || cached_answer_.base != known_revision) {
        cached_answer_ = {current.revision, known_revision,
                          make_text_delta(base->text, current.text)};
    }
    return cached_answer_;
}

bool configuration_feed::apply_answer(const configuration_answer& answer) {
    if (answer.base == 0) {
        apply({key_, answer.body, answer.revision});
        return true;
    }
    const version_text* base = find_text(answer.base);
    const std::optional<std::string> text =
        base == nullptr ? std::nullopt : apply_text_delta(base->text, answer.body);
    if (!text) {
        log_.write(
            decision_log::level::info, "configuration_delta_unusable",
            {{"base", std::to_string(answer.base)}, {"revision", std::to_string(answer.revision)}});
        return false;
    }
    apply({key_, *text, answer.revision});
    return true;
}

}  // namespace fuchsiaquay
