#include <chrono>
#include <cstdlib>
#include <fstream>
#include <ostream>
#include <set>
#include <sstream>
#include <thread>

#include "ctl/console/admin_channel.hpp"
#include "ctl/console/command_registry.hpp"
#include "ctl/console/failure_report.hpp"
#include "ctl/console/text_table.hpp"
#include "drivers/json/field_reader.hpp"
#include "drivers/json/json_text.hpp"
#include "drivers/json/json_writer.hpp"

namespace fuchsiaquay {
namespace {

constexpr int status_ok = 200;
constexpr std::size_t max_items = 100000;
constexpr int default_interval_s = 2;

std::string cell(const web::json::value& value) {
    if (value.is_null()) {
        return "-";
    }
    return value.is_string() ? value.as_string() : write_json(value, json_layout::one_line);
}

std::string cell(const web::json::value& object, const std::string& name) {
    return object.has_field(name) ? cell(object.at(name)) : "-";
}

admin_channel::response send(const command_context& context, const std::string& method,
                             const std::string& path, const std::string& body = "") {
    admin_channel::call call;
    call.method = method;
    call.path = path + (context.options.dry_run && method != "GET" ? "?dry_run=true" : "");
    call.body = body;
    return context.channel.send(call);
}

exit_code print_body(const command_context& context, const admin_channel::response& response) {
    const exit_code code = report_failure(context, response);
    if (code == exit_code::done) {
        context.out << indent_json(response.body);
    }
    return code;
}

/// Prints the members of the objects in the array `list` as a table.
exit_code print_list(const command_context& context, const std::string& path,
                     const std::string& list, const std::vector<std::string>& members) {
    const auto response = send(context, "GET", path);
    if (context.options.json || response.status != status_ok) {
        return print_body(context, response);
    }
    text_table table(members);
    const web::json::value body = parse_object(response.body);
    for (const web::json::value& item : body.at(list).as_array()) {
        std::vector<std::string> row;
        row.reserve(members.size());
        for (const std::string& member : members) {
            row.push_back(cell(item, member));
        }
        table.add(row);
    }
    table.print(context.out);
    return exit_code::done;
}

exit_code list_upstreams(const command_context& context) {
    return print_list(context, "/upstreams", "upstreams",
                      {"id", "kind", "state", "data_centre", "address", "port", "models"});
}

exit_code list_nodes(const command_context& context) {
    return print_list(context, "/nodes", "nodes",
                      {"host", "data_centre", "state", "address", "http_port"});
}

/// Calls the address of the node itself, because only the node can stop its own process.
exit_code drain_node(const command_context& context) {
    const auto response = send(context, "GET", "/nodes");
    if (response.status != status_ok) {
        return print_body(context, response);
    }
    const web::json::value body = parse_object(response.body);
    for (const web::json::value& node : body.at("nodes").as_array()) {
        if (cell(node, "host") == context.arguments[0]) {
            admin_channel::call call;
            call.method = "POST";
            call.path = "/nodes/" + context.arguments[0] + "/drain";
            call.path += context.options.dry_run ? "?dry_run=true" : "";
            call.node = cell(node, "address") + ":" + cell(node, "http_port");
            return print_body(context, context.channel.send(call));
        }
    }
    context.err << "fuchsiaquayctl: no live node " << context.arguments[0] << "\n";
    return exit_code::refused;
}

exit_code add_upstream(const command_context& context) {
    std::ifstream file(context.arguments[0]);
    std::ostringstream text;
    text << file.rdbuf();
    const std::string id = field_reader(parse_object(text.str()), "").name("id");
    return print_body(context, send(context, "PUT", "/upstreams/" + id, text.str()));
}

exit_code explain(const command_context& context) {
    web::json::value body = web::json::value::object(true);
    for (const char* name : {"customer", "rank", "model", "service"}) {
        const std::string value = context.options.value(name, "");
        if (!value.empty()) {
            body[name] = web::json::value::string(value);
        }
    }
    body["prompt_tokens"] =
        web::json::value::number(std::atoi(context.options.value("prompt-tokens", "0").c_str()));
    body["max_tokens"] =
        web::json::value::number(std::atoi(context.options.value("max-tokens", "0").c_str()));
    const auto response =
        send(context, "POST", "/explain", write_json(body, json_layout::one_line));
    if (context.options.json || response.status != status_ok) {
        return print_body(context, response);
    }
    const web::json::value found = parse_object(response.body);
    context.out << "outcome " << cell(found, "outcome") << "  rank " << cell(found, "rank")
                << "  level " << cell(found, "level") << "  owner " << cell(found, "owner")
                << "  contract " << cell(found, "contract_revision") << "\nprice "
                << cell(found, "price") << "\n";
    text_table table({"UPSTREAM", "SCORE", "CACHED", "REASON"});
    for (const web::json::value& item : found.at("candidates").as_array()) {
        table.add({cell(item, "upstream"), cell(item, "score"), cell(item, "cached_tokens"),
                   cell(item, "reason")});
    }
    table.print(context.out);
    return exit_code::done;
}

std::vector<std::string> status_row(const command_context& context, const web::json::value& node,
                                    std::set<std::string>& revisions) {
    admin_channel::call call;
    call.method = "GET";
    call.path = "/status";
    call.node = cell(node, "address") + ":" + cell(node, "http_port");
    const auto response = context.channel.send(call);
    std::vector<std::string> row{cell(node, "host"), cell(node, "data_centre"),
                                 cell(node, "state")};
    if (response.status != status_ok) {
        revisions.insert("unknown");
        row.insert(row.end(), {"no answer", "-", "-", "-", "-"});
        return row;
    }
    const web::json::value status = parse_object(response.body);
    const web::json::value& contracts = status.at("contracts");
    const web::json::value& upstreams = status.at("upstreams");
    revisions.insert(cell(contracts, "last_change"));
    row.insert(
        row.end(),
        {cell(contracts, "standing"), cell(contracts, "last_change"), cell(contracts, "age_ms"),
         cell(upstreams, "live") + "/" + cell(upstreams, "leaving"), cell(status, "figures")});
    return row;
}

exit_code status(const command_context& context) {
    const auto response = send(context, "GET", "/nodes");
    if (response.status != status_ok) {
        return report_failure(context, response);
    }
    if (context.options.json) {
        return print_body(context, send(context, "GET", "/status"));
    }
    std::set<std::string> revisions;
    text_table table({"NODE", "DATA CENTRE", "STATE", "CONTRACTS", "REVISION", "AGE MS",
                      "UPSTREAMS LIVE/LEAVING", "FIGURES"});
    const web::json::value body = parse_object(response.body);
    for (const web::json::value& node : body.at("nodes").as_array()) {
        table.add(status_row(context, node, revisions));
    }
    table.print(context.out);
    const bool same = revisions.size() == 1 && revisions.count("unknown") == 0;
    context.out << (same ? "contracts: revision " + *revisions.begin() + " on every node\n"
                         : std::string("contracts: not the same revision on every node\n"));
    print_list(context, "/models", "models", {"model", "engines", "leaving", "contracts"});
    return exit_code::done;
}

exit_code watch(const command_context& context) {
    const int interval = std::atoi(context.options.value("interval", "").c_str());
    const int pause = interval > 0 ? interval : default_interval_s;
    const int rounds = std::atoi(context.options.value("count", "0").c_str());
    for (int round = 1;; ++round) {
        const exit_code code = status(context);
        context.out << std::endl;
        if (round == rounds) {
            return code;
        }
        std::this_thread::sleep_for(std::chrono::seconds(pause));
    }
}

ctl_command post_command(const std::string& name, const std::string& argument,
                         const std::string& summary, const std::string& method,
                         const std::string& path, const std::string& suffix) {
    return {name, argument, summary, 1, [method, path, suffix](const command_context& context) {
                return print_body(context,
                                  send(context, method, path + context.arguments[0] + suffix));
            }};
}

}  // namespace

void add_fleet_commands(command_registry& registry) {
    registry.add(
        {"upstream list", "", "list the upstreams that the node knows", 0, list_upstreams});
    registry.add({"upstream add", "FILE", "add or describe an upstream", 1, add_upstream});
    registry.add(post_command("upstream drain", "ID", "send no new requests to an upstream", "POST",
                              "/upstreams/", "/drain"));
    registry.add(
        post_command("upstream remove", "ID", "remove an upstream", "DELETE", "/upstreams/", ""));
    registry.add({"node list", "", "list the nodes that the node knows", 0, list_nodes});
    registry.add({"node drain", "HOST", "start the graceful shutdown of a node", 1, drain_node});
    registry.add({"status", "", "nodes, contracts and models on one screen", 0, status});
    registry.add({"watch", "", "repeat status at an interval", 0, watch});
    registry.add(
        {"explain", "", "where a request would go and why (--customer --model ...)", 0, explain});
}

}  // namespace fuchsiaquay
