#include "drivers/admin/fleet_handlers.hpp"

#include <map>

#include "core/contract/contract_registry.hpp"
#include "drivers/admin/admin_json.hpp"
#include "drivers/admin/admin_services.hpp"
#include "drivers/json/field_reader.hpp"
#include "drivers/json/json_text.hpp"
#include "drivers/json/upstream_codec.hpp"
#include "servers/admin/node_operations.hpp"
#include "servers/admin/request_explainer.hpp"
#include "servers/decision_log.hpp"
#include "servers/limits/limit_service.hpp"
#include "servers/store/key_value_store.hpp"
#include "servers/timer_service.hpp"
#include "servers/views/host_view.hpp"
#include "servers/views/upstream_view.hpp"

namespace fuchsiaquay {
namespace {

constexpr std::int64_t max_token_count = 100000000;

web::json::value text(const std::string& value) {
    return web::json::value::string(value);
}

web::json::value print_upstream(const upstream& value) {
    operator_upstream record;
    record.value = value;
    record.described = true;
    record.wish = value.leaving ? operator_wish::drain : operator_wish::serve;
    web::json::value out = parse_or_null(print_operator_upstream(record));
    out.erase("wish");
    out["state"] = text(value.leaving ? "leaving" : "live");
    return out;
}

web::json::value print_node(const member_update& node) {
    web::json::value out = web::json::value::object(true);
    out["host"] = text(node.host.value());
    out["data_centre"] = text(node.data_centre.value());
    out["address"] = text(node.address);
    out["http_port"] = web::json::value::number(static_cast<int>(node.http_port));
    out["peer_port"] = web::json::value::number(static_cast<int>(node.peer_port));
    out["state"] = text(to_string(node.state));
    return out;
}

web::json::value print_share(double requests, double tokens, double concurrency) {
    web::json::value out = web::json::value::object(true);
    out["requests_per_second"] = web::json::value::number(requests);
    out["tokens_per_second"] = web::json::value::number(tokens);
    out["concurrent_requests"] = web::json::value::number(concurrency);
    return out;
}

web::json::value print_explanation(const explanation& answer) {
    web::json::value out = web::json::value::object(true);
    const bool refused = !answer.refusal_code.empty();
    out["outcome"] = text(refused ? answer.refusal_code : "served");
    out["message"] = text(answer.refusal_message);
    out["rank"] = text(answer.rank_name);
    out["level"] = web::json::value::number(answer.level);
    out["contract_revision"] = web::json::value::number(answer.contract_revision);
    out["deadline_ms"] = web::json::value::number(to_milliseconds(answer.deadline));
    web::json::value price = web::json::value::object(true);
    for (const auto& [name, value] : answer.price) {
        price[name] = web::json::value::number(value);
    }
    out["price"] = price;
    out["owner"] = text(answer.owner.value());
    web::json::value candidates = web::json::value::array(answer.candidates.size());
    for (std::size_t i = 0; i < answer.candidates.size(); ++i) {
        web::json::value one = web::json::value::object(true);
        one["upstream"] = text(answer.candidates[i].upstream.value());
        one["score"] = web::json::value::number(answer.candidates[i].score);
        one["cached_tokens"] = web::json::value::number(answer.candidates[i].cached_tokens);
        one["reason"] = text(answer.candidates[i].reason);
        candidates[i] = one;
    }
    out["candidates"] = candidates;
    return out;
}

explain_request parse_explain(const std::string& body) {
    field_reader fields(parse_object(body), "");
    explain_request request;
    request.customer = customer_id(fields.name("customer"));
    request.rank_name = fields.has("rank") ? fields.name("rank") : "";
    request.model = model_id(fields.has("model") ? fields.name("model") : "");
    request.service = service_id(fields.has("service") ? fields.name("service") : "");
    if (request.model.empty() == request.service.empty()) {
        throw field_error("model", "exactly one of model and service has to be given");
    }
    request.prompt_tokens = fields.integer_or("prompt_tokens", 0, max_token_count, 0);
    request.max_tokens = fields.integer_or("max_tokens", 0, max_token_count, 0);
    fields.reject_unknown_members();
    return request;
}

}  // namespace

void fleet_handlers::list_upstreams(const admin_call& call) const {
    web::json::value items = web::json::value::array();
    std::size_t count = 0;
    for (const upstream& value : services_.upstreams.all()) {
        items[count++] = print_upstream(value);
    }
    web::json::value body = web::json::value::object(true);
    body["upstreams"] = items;
    call.done(json_reply(status_ok, body));
}

void fleet_handlers::add_upstream(const admin_call& call) const {
    operator_upstream wanted;
    try {
        wanted = parse_operator_upstream(call.request.body);
    } catch (const json_error& error) {
        call.done(error_reply(status_unprocessable, "invalid", error.what()));
        return;
    }
    if (wanted.value.id.value() != call.parameter("id") || !wanted.described) {
        call.done(error_reply(status_unprocessable, "invalid",
                              "id has to be the one in the path, and kind, address, port and "
                              "data_centre are required"));
        return;
    }
    change_record(call, [wanted](operator_upstream& record) { record = wanted; });
}

void fleet_handlers::drain_upstream(const admin_call& call) const {
    change_record(call, [](operator_upstream& record) { record.wish = operator_wish::drain; });
}

void fleet_handlers::remove_upstream(const admin_call& call) const {
    change_record(call, [](operator_upstream& record) { record.wish = operator_wish::remove; });
}

void fleet_handlers::change_record(const admin_call& call, const record_change& change) const {
    const std::string id = call.parameter("id");
    if (!is_name(id)) {
        call.done(error_reply(status_unprocessable, "invalid", "id has to be a name"));
        return;
    }
    services_.store.read(
        operator_upstream_prefix + id, [this, call, change, id](const read_result& reading) {
            if (!reading.ok()) {
                audit(call, "unavailable");
                call.done(error_reply(status_unavailable, "unavailable", reading.failure));
                return;
            }
            operator_upstream record;
            record.value.id = upstream_id(id);
            std::int64_t revision = 0;
            try {
                if (!reading.values.empty()) {
                    revision = reading.values.front().revision;
                    record = parse_operator_upstream(reading.values.front().value);
                }
            } catch (const json_error& error) {
                services_.log.write(decision_log::level::warning, "upstream_record_unreadable",
                                    {{"upstream", id}, {"error", error.what()}});
            }
            change(record);
            write_record(call, record, revision);
        });
}

void fleet_handlers::write_record(const admin_call& call, const operator_upstream& record,
                                  std::int64_t expected_revision) const {
    const std::string value = print_operator_upstream(record);
    if (call.dry_run()) {
        audit(call, "accepted");
        call.done(json_reply(status_ok, parse_or_null(value)));
        return;
    }
    const transaction change = compare_and_swap(operator_upstream_prefix + record.value.id.value(),
                                                expected_revision, value);
    services_.store.commit(change, [this, call, value](const write_result& result) {
        switch (result.outcome) {
            case write_outcome::applied:
                audit(call, "accepted");
                call.done(json_reply(status_ok, parse_or_null(value)));
                return;
            case write_outcome::conflict:
                audit(call, "conflict");
                call.done(error_reply(status_precondition_failed, "conflict",
                                      "another operator changed this upstream; try again"));
                return;
            case write_outcome::unknown:
                audit(call, "unknown");
                call.done(error_reply(status_gateway_timeout, "unknown",
                                      "no answer of the store; the change is idempotent, repeat it",
                                      "maybe"));
                return;
        }
    });
}

void fleet_handlers::list_models(const admin_call& call) const {
    struct counts {
        int engines = 0;
        int leaving = 0;
        int contracts = 0;
    };
    std::map<std::string, counts> models;
    for (const upstream& value : services_.upstreams.all()) {
        for (const model_id& model : value.models) {
            counts& entry = models[model.value()];
            (value.leaving ? entry.leaving : entry.engines) += 1;
        }
    }
    for (const auto& terms : services_.registry.table()->all()) {
        for (const model_id& model : terms->models) {
            models[model.value()].contracts += 1;
        }
    }
    web::json::value items = web::json::value::array();
    std::size_t count = 0;
    for (const auto& [name, entry] : models) {
        web::json::value item = web::json::value::object(true);
        item["model"] = text(name);
        item["engines"] = web::json::value::number(entry.engines);
        item["leaving"] = web::json::value::number(entry.leaving);
        item["contracts"] = web::json::value::number(entry.contracts);
        items[count++] = item;
    }
    web::json::value body = web::json::value::object(true);
    body["models"] = items;
    call.done(json_reply(status_ok, body));
}

void fleet_handlers::list_nodes(const admin_call& call) const {
    web::json::value items = web::json::value::array();
    std::size_t count = 0;
    for (const member_update& node : services_.hosts.live_hosts()) {
        items[count++] = print_node(node);
    }
    web::json::value body = web::json::value::object(true);
    body["nodes"] = items;
    call.done(json_reply(status_ok, body));
}

void fleet_handlers::drain_node(const admin_call& call) const {
    const host_id host(call.parameter("host"));
    if (!services_.hosts.find(host)) {
        call.done(error_reply(status_not_found, "missing", "there is no such node"));
        return;
    }
    if (call.dry_run()) {
        call.done(json_reply(status_ok, print_node(*services_.hosts.find(host))));
        return;
    }
    services_.nodes.drain(host, [this, call](const std::string& failure) {
        audit(call, failure.empty() ? "accepted" : "failed");
        if (!failure.empty()) {
            call.done(error_reply(status_unavailable, "unavailable", failure));
            return;
        }
        web::json::value body = web::json::value::object(true);
        body["outcome"] = text("draining");
        call.done(json_reply(status_accepted, body));
    });
}

void fleet_handlers::list_limits(const admin_call& call) const {
    web::json::value items = web::json::value::array();
    std::size_t count = 0;
    for (const limit_usage& usage : services_.limits.usage()) {
        web::json::value item = web::json::value::object(true);
        item["customer"] = text(usage.customer.value());
        item["limits"] =
            print_share(usage.limits.requests_per_second, usage.limits.tokens_per_second,
                        static_cast<double>(usage.limits.concurrent_requests));
        item["share"] =
            print_share(usage.share.requests, usage.share.tokens, usage.share.concurrency);
        item["running"] = web::json::value::number(usage.running);
        item["keeper"] = text(usage.keeper.value());
        item["age_ms"] = web::json::value::number(to_milliseconds(usage.age));
        items[count++] = item;
    }
    web::json::value body = web::json::value::object(true);
    body["host"] = text(services_.hosts.host().host.value());
    body["limits"] = items;
    call.done(json_reply(status_ok, body));
}

void fleet_handlers::explain(const admin_call& call) const {
    try {
        const explain_request request = parse_explain(call.request.body);
        services_.explainer.explain(request, [call](const explanation& answer) {
            call.done(json_reply(status_ok, print_explanation(answer)));
        });
    } catch (const field_error& error) {
        call.done(
            error_reply(status_unprocessable, "invalid", error.field() + ": " + error.what()));
    }
}

void fleet_handlers::status(const admin_call& call) const {
    const contract_freshness freshness = services_.registry.freshness(services_.timers.now());
    web::json::value contracts = web::json::value::object(true);
    contracts["standing"] = text(to_text(freshness.sync_state));
    contracts["customers"] =
        web::json::value::number(static_cast<int>(services_.registry.table()->all().size()));
    contracts["last_change"] = web::json::value::number(services_.registry.last_change());
    contracts["known_revision"] = web::json::value::number(freshness.known_revision);
    const bool proved = freshness.age != duration::max();
    contracts["age_ms"] = proved ? web::json::value::number(to_milliseconds(freshness.age))
                                 : web::json::value::null();
    int live = 0;
    int leaving = 0;
    for (const upstream& value : services_.upstreams.all()) {
        (value.leaving ? leaving : live) += 1;
    }
    web::json::value upstreams = web::json::value::object(true);
    upstreams["live"] = web::json::value::number(live);
    upstreams["leaving"] = web::json::value::number(leaving);
    web::json::value figures = web::json::value::object(true);
    for (const auto& [name, value] : services_.nodes.status_values()) {
        figures[name] = web::json::value::number(value);
    }
    web::json::value body = web::json::value::object(true);
    body["node"] = print_node(services_.hosts.host());
    body["nodes"] = web::json::value::number(static_cast<int>(services_.hosts.live_hosts().size()));
    body["contracts"] = contracts;
    body["upstreams"] = upstreams;
    body["figures"] = figures;
    call.done(json_reply(status_ok, body));
}

void fleet_handlers::audit(const admin_call& call, const std::string& outcome) const {
    services_.log.write(decision_log::level::info, "admin_change",
                        {{"operator", call.author.name},
                         {"method", call.request.method},
                         {"path", call.request.path},
                         {"dry_run", call.dry_run() ? "true" : "false"},
                         {"outcome", outcome}});
}

}  // namespace fuchsiaquay
