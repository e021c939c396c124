#include "ctl/emulation/engine_model.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace fuchsiaquay {

engine_model::engine_model(const engine_settings& settings, std::uint64_t seed)
    : settings_(settings), cache_(settings.cache_event_delay, settings.cache_event_loss, seed) {}

submit_result engine_model::submit(const stream_request& request, instant now) {
    if (find(request.stream_id) != nullptr) {
        if (request.resume_from == 0) {
            return submit_result::duplicate;
        }
        cancel(request.stream_id, now);
    }
    stream added;
    added.request = request;
    const std::int64_t local_prompt = request.prompt_tokens - request.remote_tokens;
    added.memory_tokens = local_prompt + (request.hold ? 0 : request.max_tokens);
    if (used_tokens_ + added.memory_tokens > settings_.memory_tokens) {
        return submit_result::out_of_memory;
    }
    added.cached_tokens =
        std::min(cache_.match(request.prefix_hashes), std::max<std::int64_t>(local_prompt - 1, 0));
    added.generated = request.resume_from;
    added.prefill_left =
        std::max<std::int64_t>(local_prompt + request.resume_from - added.cached_tokens, 1);
    insert(std::move(added));
    cache_.shrink(settings_.memory_tokens - used_tokens_, now);
    if (!in_step_) {
        start_step(now);
    }
    take_load_sample(now);
    return submit_result::accepted;
}

bool engine_model::cancel(const std::string& stream_id, instant now) {
    const auto found = std::find_if(
        streams_.begin(), streams_.end(),
        [&stream_id](const stream& each) { return each.request.stream_id == stream_id; });
    if (found == streams_.end()) {
        return false;
    }
    used_tokens_ -= found->memory_tokens;
    streams_.erase(found);
    take_load_sample(now);
    return true;
}

std::vector<engine_event> engine_model::advance(instant now) {
    std::vector<engine_event> events;
    while (in_step_ && step_end_ <= now) {
        const instant ended = step_end_;
        end_step(events);
        start_step(ended);
        take_load_sample(ended);
    }
    return events;
}

instant engine_model::next_event() const noexcept {
    return in_step_ ? step_end_ : instant::max();
}

std::vector<stream_status> engine_model::streams() const {
    std::vector<stream_status> list;
    list.reserve(streams_.size());
    for (const stream& each : streams_) {
        stream_status::state phase = stream_status::state::waiting;
        if (each.prefill_left == 0) {
            phase = each.request.hold ? stream_status::state::held : stream_status::state::decode;
        } else if (each.running) {
            phase = stream_status::state::prefill;
        }
        list.push_back(stream_status{each.request.stream_id, each.memory_tokens, each.generated,
                                     each.request.priority, phase, each.prefill_left});
    }
    return list;
}

engine_load engine_model::load(instant now) const {
    const instant wanted = now - settings_.load_lag;
    engine_load reported{settings_.memory_tokens, settings_.memory_tokens, 0, 0, 0, {}};
    for (const load_sample& sample : samples_) {
        if (sample.at > wanted) {
            break;
        }
        reported = sample.load;
    }
    reported.age = settings_.load_lag;
    return reported;
}

std::vector<cache_event> engine_model::cache_events(std::uint64_t after, instant now) const {
    return cache_.events(after, now);
}

std::int64_t engine_model::free_memory_tokens() const noexcept {
    return settings_.memory_tokens - used_tokens_;
}

std::optional<kv_part> engine_model::export_kv(const std::string& stream_id) const {
    const stream* found = find(stream_id);
    if (found == nullptr || found->prefill_left > 0) {
        return std::nullopt;
    }
    return kv_part{stream_id, found->request.prompt_tokens - found->request.remote_tokens};
}

submit_result engine_model::import_kv(const std::string& stream_id, const kv_part& part,
                                      instant now) {
    if (find(stream_id) != nullptr) {
        return submit_result::duplicate;
    }
    if (used_tokens_ + part.tokens > settings_.memory_tokens) {
        return submit_result::out_of_memory;
    }
    stream added;
    added.request.stream_id = stream_id;
    added.request.prompt_tokens = part.tokens;
    added.request.hold = true;
    added.memory_tokens = part.tokens;
    insert(std::move(added));
    cache_.shrink(settings_.memory_tokens - used_tokens_, now);
    take_load_sample(now);
    return submit_result::accepted;
}

engine_model::stream* engine_model::find(const std::string& stream_id) {
    return const_cast<stream*>(std::as_const(*this).find(stream_id));
}

const engine_model::stream* engine_model::find(const std::string& stream_id) const {
    for (const stream& each : streams_) {
        if (each.request.stream_id == stream_id) {
            return &each;
        }
    }
    return nullptr;
}

void engine_model::insert(stream added) {
    added.arrival = ++arrivals_;
    used_tokens_ += added.memory_tokens;
    const auto position = std::upper_bound(streams_.begin(), streams_.end(), added,
                                           [](const stream& a, const stream& b) {
                                               return std::tie(a.request.priority, a.arrival) <
                                                      std::tie(b.request.priority, b.arrival);
                                           });
    streams_.insert(position, std::move(added));
}

void engine_model::start_step(instant now) {
    std::int64_t tokens = 0;
    std::int64_t running = 0;
    for (stream& each : streams_) {
        each.decoding = each.prefill_left == 0 && !each.request.hold;
        each.chunk = 0;
        running += each.decoding ? 1 : 0;
        tokens += each.decoding ? 1 : 0;
    }
    for (stream& each : streams_) {
        if (each.prefill_left == 0 || tokens >= settings_.step_tokens) {
            continue;
        }
        if (running >= settings_.max_running) {
            break;
        }
        each.running = true;
        ++running;
        each.chunk = std::min(each.prefill_left, settings_.step_tokens - tokens);
        tokens += each.chunk;
    }
    in_step_ = tokens > 0;
    step_end_ = now + settings_.step_base + settings_.token_cost * tokens;
}

void engine_model::end_step(std::vector<engine_event>& events) {
    for (std::size_t i = 0; i < streams_.size();) {
        if (advance_stream(streams_[i], events)) {
            used_tokens_ -= streams_[i].memory_tokens;
            streams_.erase(streams_.begin() + static_cast<std::ptrdiff_t>(i));
        } else {
            ++i;
        }
    }
}

bool engine_model::advance_stream(stream& current, std::vector<engine_event>& events) {
    if (current.chunk > 0) {
        current.prefill_left -= current.chunk;
        current.chunk = 0;
        if (current.prefill_left > 0) {
            return false;
        }
        const std::int64_t free_tokens = settings_.memory_tokens - used_tokens_;
        cache_.store(current.request.prefix_hashes, std::min(settings_.cache_tokens, free_tokens),
                     step_end_);
        if (current.request.hold) {
            events.push_back(engine_event{engine_event::kind::held, current.request.stream_id, 0,
                                          current.cached_tokens, step_end_});
            return false;
        }
    } else if (!current.decoding) {
        return false;
    }
    report_token(current, events);
    if (current.generated < current.request.max_tokens) {
        return false;
    }
    events.push_back(engine_event{engine_event::kind::finished, current.request.stream_id,
                                  current.generated, current.cached_tokens, step_end_});
    return true;
}

void engine_model::report_token(stream& current, std::vector<engine_event>& events) const {
    const std::int64_t offset = current.generated++;
    const bool first = offset == current.request.resume_from;
    const bool last = current.generated >= current.request.max_tokens;
    if (settings_.report_every_token || first || last) {
        events.push_back(engine_event{engine_event::kind::token, current.request.stream_id, offset,
                                      current.cached_tokens, step_end_});
    }
}

void engine_model::take_load_sample(instant now) {
    samples_.push_back(load_sample{now, current_load()});
    const instant oldest = now - settings_.load_lag;
    while (samples_.size() > 1 && samples_[1].at <= oldest) {
        samples_.pop_front();
    }
}

engine_load engine_model::current_load() const {
    engine_load sampled{settings_.memory_tokens, free_memory_tokens(), 0, 0, 0, {}};
    for (const stream& each : streams_) {
        sampled.queued_prefill_tokens += each.prefill_left;
        const bool active = each.running || (each.prefill_left == 0 && !each.request.hold);
        sampled.running += active ? 1 : 0;
        sampled.waiting += each.prefill_left > 0 && !each.running ? 1 : 0;
    }
    return sampled;
}

}  // namespace fuchsiaquay
