#include "drivers/frames/message_decoder.hpp"

#include <string>
#include <utility>

namespace fuchsiaquay {
namespace {

std::string get(const flatbuffers::String* value) {
    return value == nullptr ? std::string() : value->str();
}

template <typename name>
name get_name(const flatbuffers::String* value) {
    return name(get(value));
}

bool known(wire::GossipKind value) {
    return value >= wire::GossipKind::MIN && value <= wire::GossipKind::MAX;
}
bool known(wire::MemberState value) {
    return value >= wire::MemberState::MIN && value <= wire::MemberState::MAX;
}
bool known(wire::ReserveOutcome value) {
    return value >= wire::ReserveOutcome::MIN && value <= wire::ReserveOutcome::MAX;
}
bool known(wire::MarkUse value) {
    return value >= wire::MarkUse::MIN && value <= wire::MarkUse::MAX;
}
bool known(wire::UpstreamKind value) {
    return value >= wire::UpstreamKind::MIN && value <= wire::UpstreamKind::MAX;
}

std::optional<member_update> decode(const wire::MemberUpdate& table) {
    if (!known(table.state())) {
        return std::nullopt;
    }
    member_update update;
    update.host = get_name<host_id>(table.host());
    update.data_centre = get_name<data_centre_id>(table.data_centre());
    update.address = get(table.address());
    update.peer_port = table.peer_port();
    update.http_port = table.http_port();
    update.incarnation = table.incarnation();
    update.state = static_cast<member_state>(table.state());
    return update;
}

std::optional<peer_message> decode(const wire::Gossip& table) {
    if (!known(table.kind())) {
        return std::nullopt;
    }
    gossip_message message;
    message.kind = static_cast<gossip_kind>(table.kind());
    message.sequence = table.sequence();
    message.subject = get_name<host_id>(table.subject());
    message.digest = table.digest();
    if (table.updates() != nullptr) {
        for (const wire::MemberUpdate* entry : *table.updates()) {
            std::optional<member_update> update = decode(*entry);
            if (!update) {
                return std::nullopt;
            }
            message.updates.push_back(std::move(*update));
        }
    }
    if (table.beats() != nullptr) {
        for (const wire::DataCentreBeat* beat : *table.beats()) {
            message.beats.push_back(data_centre_heartbeat{beat->data_centre_key(), beat->beat()});
        }
    }
    return message;
}

peer_message decode(const wire::ReserveRequest& table) {
    reserve_request message;
    message.request = get_name<request_id>(table.request());
    message.upstream = get_name<upstream_id>(table.upstream());
    message.entry_host = get_name<host_id>(table.entry_host());
    message.customer = get_name<customer_id>(table.customer());
    message.weight = table.weight();
    message.level = table.level();
    message.floor_share = table.floor_share();
    message.prompt_tokens = table.prompt_tokens();
    message.cached_tokens = table.cached_tokens();
    message.expected_output_tokens = table.expected_output_tokens();
    message.memory_tokens = table.memory_tokens();
    message.time_left = duration(table.time_left());
    return message;
}

std::optional<peer_message> decode(const wire::ReserveReply& table) {
    if (!known(table.outcome())) {
        return std::nullopt;
    }
    reserve_reply message;
    message.request = get_name<request_id>(table.request());
    message.upstream = get_name<upstream_id>(table.upstream());
    message.outcome = static_cast<reserve_outcome>(table.outcome());
    message.grant = get_name<grant_id>(table.grant());
    message.grant_lifetime = duration(table.grant_lifetime());
    message.start_estimate = duration(table.start_estimate());
    message.retry_after = duration(table.retry_after());
    message.reason = get(table.reason());
    message.free_memory_tokens = table.free_memory_tokens();
    message.queued_prefill_tokens = table.queued_prefill_tokens();
    message.running_requests = table.running_requests();
    message.queued_long_tokens = table.queued_long_tokens();
    message.engine_priority = table.engine_priority();
    return message;
}

peer_message decode(const wire::GrantRelease& table) {
    return grant_release{get_name<grant_id>(table.grant()), get_name<request_id>(table.request()),
                         get_name<upstream_id>(table.upstream()), table.generated_tokens()};
}

peer_message decode(const wire::GrantRenewal& table) {
    return grant_renewal{get_name<grant_id>(table.grant()),
                         get_name<request_id>(table.request()),
                         get_name<upstream_id>(table.upstream()),
                         get_name<host_id>(table.entry_host()),
                         get_name<customer_id>(table.customer()),
                         table.level(),
                         table.memory_tokens()};
}

peer_message decode(const wire::BudgetRequest& table) {
    return budget_request{get_name<customer_id>(table.customer()),
                          get_name<host_id>(table.host()),
                          table.contract_revision(),
                          table.wanted_requests(),
                          table.wanted_tokens(),
                          table.wanted_concurrency(),
                          table.held_requests(),
                          table.held_tokens(),
                          table.held_concurrency()};
}

peer_message decode(const wire::BudgetGrant& table) {
    return budget_grant{get_name<customer_id>(table.customer()), table.requests(), table.tokens(),
                        table.concurrency(), duration(table.lifetime())};
}

peer_message decode(const wire::MarkQuery& table) {
    return mark_query{table.shard(), get(table.mark()), get_name<host_id>(table.asker())};
}

std::optional<peer_message> decode(const wire::MarkAnswer& table) {
    if (!known(table.use())) {
        return std::nullopt;
    }
    return mark_answer{table.shard(), get(table.mark()), static_cast<mark_use>(table.use())};
}

peer_message decode(const wire::ContractUpdate& table) {
    return contract_update{get_name<customer_id>(table.customer()),
                           table.revision(),
                           table.index_revision(),
                           table.erased(),
                           get(table.document()),
                           table.previous_revision()};
}

std::optional<upstream> decode(const wire::Upstream& table) {
    if (!known(table.kind())) {
        return std::nullopt;
    }
    upstream record;
    record.id = get_name<upstream_id>(table.id());
    record.kind = static_cast<upstream_kind>(table.kind());
    record.service = get_name<service_id>(table.service());
    record.address = get(table.address());
    record.port = table.port();
    record.data_centre = get_name<data_centre_id>(table.data_centre());
    record.leaving = table.leaving();
    record.checks_orders = table.checks_orders();
    record.memory_tokens = table.memory_tokens();
    if (table.models() != nullptr) {
        for (const flatbuffers::String* model : *table.models()) {
            record.models.emplace_back(model->str());
        }
    }
    return record;
}

std::optional<peer_message> decode(const wire::UpstreamUpdate& table) {
    upstream_update message;
    message.version = table.version();
    message.base_version = table.base_version();
    message.request = table.request();
    if (table.changed() != nullptr) {
        for (const wire::Upstream* entry : *table.changed()) {
            std::optional<upstream> record = decode(*entry);
            if (!record) {
                return std::nullopt;
            }
            message.changed.push_back(std::move(*record));
        }
    }
    if (table.gone() != nullptr) {
        for (const flatbuffers::String* id : *table.gone()) {
            message.gone.emplace_back(id->str());
        }
    }
    return message;
}

}  // namespace

std::optional<peer_message> decode_message(const wire::Frame& frame) {
    if (frame.body() == nullptr) {
        return std::nullopt;
    }
    switch (frame.body_type()) {
        case wire::Body::Gossip:
            return decode(*frame.body_as_Gossip());
        case wire::Body::ReserveRequest:
            return decode(*frame.body_as_ReserveRequest());
        case wire::Body::ReserveReply:
            return decode(*frame.body_as_ReserveReply());
        case wire::Body::GrantRelease:
            return decode(*frame.body_as_GrantRelease());
        case wire::Body::GrantRenewal:
            return decode(*frame.body_as_GrantRenewal());
        case wire::Body::BudgetRequest:
            return decode(*frame.body_as_BudgetRequest());
        case wire::Body::BudgetGrant:
            return decode(*frame.body_as_BudgetGrant());
        case wire::Body::MarkQuery:
            return decode(*frame.body_as_MarkQuery());
        case wire::Body::MarkAnswer:
            return decode(*frame.body_as_MarkAnswer());
        case wire::Body::ContractUpdate:
            return decode(*frame.body_as_ContractUpdate());
        case wire::Body::UpstreamUpdate:
            return decode(*frame.body_as_UpstreamUpdate());
        case wire::Body::NONE:
            break;
    }
    return std::nullopt;
}

}  // namespace fuchsiaquay
