#include "drivers/frames/message_encoder.hpp"

#include <string>
#include <variant>
#include <vector>

namespace fuchsiaquay {
namespace {

using builder_type = flatbuffers::FlatBufferBuilder;
using text = flatbuffers::Offset<flatbuffers::String>;

/// An empty string is left out of the table, so it takes no bytes.
text put(builder_type& builder, const std::string& value) {
    return value.empty() ? text() : builder.CreateString(value);
}

template <typename kind>
text put(builder_type& builder, const identifier<kind>& name) {
    return put(builder, name.value());
}

/// Stores a value that occurs several times in a message only once.
template <typename kind>
text put_shared(builder_type& builder, const identifier<kind>& name) {
    return name.empty() ? text() : builder.CreateSharedString(name.value());
}

flatbuffers::Offset<wire::MemberUpdate> put(builder_type& builder, const member_update& update) {
    const text host = put(builder, update.host);
    const text data_centre = put_shared(builder, update.data_centre);
    const text address = put(builder, update.address);
    return wire::CreateMemberUpdate(builder, host, data_centre, address, update.peer_port,
                                    update.http_port, update.incarnation,
                                    static_cast<wire::MemberState>(update.state));
}

flatbuffers::Offset<wire::Upstream> put(builder_type& builder, const upstream& record) {
    std::vector<text> models;
    models.reserve(record.models.size());
    for (const model_id& model : record.models) {
        models.push_back(builder.CreateSharedString(model.value()));
    }
    const text id = put(builder, record.id);
    const text service = put_shared(builder, record.service);
    const text address = put(builder, record.address);
    const text data_centre = put_shared(builder, record.data_centre);
    const auto model_list = builder.CreateVector(models);
    return wire::CreateUpstream(builder, id, static_cast<wire::UpstreamKind>(record.kind), service,
                                address, record.port, data_centre, record.leaving, model_list,
                                record.checks_orders, record.memory_tokens);
}

template <typename table>
encoded_body body(wire::Body type, flatbuffers::Offset<table> offset) {
    return encoded_body{type, offset.Union()};
}

/// Serializes one alternative of `peer_message`.
class body_writer {
public:
    explicit body_writer(builder_type& builder) : builder_(builder) {}

    encoded_body operator()(const gossip_message& message) const {
        std::vector<flatbuffers::Offset<wire::MemberUpdate>> updates;
        updates.reserve(message.updates.size());
        for (const member_update& update : message.updates) {
            updates.push_back(put(builder_, update));
        }
        std::vector<wire::DataCentreBeat> beats;
        beats.reserve(message.beats.size());
        for (const data_centre_heartbeat& beat : message.beats) {
            beats.emplace_back(beat.data_centre_key, beat.beat);
        }
        const text subject = put(builder_, message.subject);
        flatbuffers::Offset<flatbuffers::Vector<flatbuffers::Offset<wire::MemberUpdate>>> list;
        if (!updates.empty()) {
            list = builder_.CreateVector(updates);
        }
        flatbuffers::Offset<flatbuffers::Vector<const wire::DataCentreBeat*>> beat_list;
        if (!beats.empty()) {
            beat_list = builder_.CreateVectorOfStructs(beats);
        }
        return body(wire::Body::Gossip,
                    wire::CreateGossip(builder_, static_cast<wire::GossipKind>(message.kind),
                                       message.sequence, subject, list, message.digest, beat_list));
    }

    encoded_body operator()(const reserve_request& message) const {
        const text request = put(builder_, message.request);
        const text upstream = put(builder_, message.upstream);
        const text entry_host = put(builder_, message.entry_host);
        const text customer = put(builder_, message.customer);
        return body(wire::Body::ReserveRequest,
                    wire::CreateReserveRequest(builder_, request, upstream, entry_host, customer,
                                               message.weight, message.level, message.floor_share,
                                               message.prompt_tokens, message.cached_tokens,
                                               message.expected_output_tokens,
                                               message.memory_tokens, message.time_left.count()));
    }

    encoded_body operator()(const reserve_reply& message) const {
        const text request = put(builder_, message.request);
        const text upstream = put(builder_, message.upstream);
        const text grant = put(builder_, message.grant);
        const text reason = put(builder_, message.reason);
        return body(
            wire::Body::ReserveReply,
            wire::CreateReserveReply(
                builder_, request, upstream, static_cast<wire::ReserveOutcome>(message.outcome),
                grant, message.grant_lifetime.count(), message.start_estimate.count(),
                message.retry_after.count(), reason, message.free_memory_tokens,
                message.queued_prefill_tokens, message.running_requests, message.queued_long_tokens,
                message.engine_priority));
    }

    encoded_body operator()(const grant_release& message) const {
        const text grant = put(builder_, message.grant);
        const text request = put(builder_, message.request);
        const text upstream = put(builder_, message.upstream);
        return body(
            wire::Body::GrantRelease,
            wire::CreateGrantRelease(builder_, grant, request, upstream, message.generated_tokens));
    }

    encoded_body operator()(const grant_renewal& message) const {
        const text grant = put(builder_, message.grant);
        const text request = put(builder_, message.request);
        const text upstream = put(builder_, message.upstream);
        const text entry_host = put(builder_, message.entry_host);
        const text customer = put(builder_, message.customer);
        return body(wire::Body::GrantRenewal,
                    wire::CreateGrantRenewal(builder_, grant, request, upstream, entry_host,
                                             customer, message.level, message.memory_tokens));
    }

    encoded_body operator()(const budget_request& message) const {
        const text customer = put(builder_, message.customer);
        const text host = put(builder_, message.host);
        return body(wire::Body::BudgetRequest,
                    wire::CreateBudgetRequest(builder_, customer, host, message.contract_revision,
                                              message.wanted_requests, message.wanted_tokens,
                                              message.wanted_concurrency, message.held_requests,
                                              message.held_tokens, message.held_concurrency));
    }

    encoded_body operator()(const budget_grant& message) const {
        const text customer = put(builder_, message.customer);
        return body(wire::Body::BudgetGrant,
                    wire::CreateBudgetGrant(builder_, customer, message.requests, message.tokens,
                                            message.concurrency, message.lifetime.count()));
    }

    encoded_body operator()(const mark_query& message) const {
        const text mark = put(builder_, message.mark);
        const text asker = put(builder_, message.asker);
        return body(wire::Body::MarkQuery,
                    wire::CreateMarkQuery(builder_, message.shard, mark, asker));
    }

    encoded_body operator()(const mark_answer& message) const {
        const text mark = put(builder_, message.mark);
        return body(wire::Body::MarkAnswer,
                    wire::CreateMarkAnswer(builder_, message.shard, mark,
                                           static_cast<wire::MarkUse>(message.use)));
    }

    encoded_body operator()(const contract_update& message) const {
        const text customer = put(builder_, message.customer);
        const text document = put(builder_, message.document);
        return body(
            wire::Body::ContractUpdate,
            wire::CreateContractUpdate(builder_, customer, message.revision, message.index_revision,
                                       message.erased, document, message.previous_revision));
    }

    encoded_body operator()(const upstream_update& message) const {
        std::vector<flatbuffers::Offset<wire::Upstream>> changed;
        changed.reserve(message.changed.size());
        for (const upstream& record : message.changed) {
            changed.push_back(put(builder_, record));
        }
        std::vector<text> gone;
        gone.reserve(message.gone.size());
        for (const upstream_id& id : message.gone) {
            gone.push_back(builder_.CreateString(id.value()));
        }
        const auto changed_list = builder_.CreateVector(changed);
        const auto gone_list = builder_.CreateVector(gone);
        return body(wire::Body::UpstreamUpdate,
                    wire::CreateUpstreamUpdate(builder_, message.version, message.base_version,
                                               message.request, changed_list, gone_list));
    }

private:
    builder_type& builder_;
};

}  // namespace

encoded_body encode_message(builder_type& builder, const peer_message& message) {
    return std::visit(body_writer(builder), message);
}

}  // namespace fuchsiaquay
