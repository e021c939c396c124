#include "drivers/json/json_contract_format.hpp"

#include <limits>
#include <utility>

#include "drivers/json/contract_codec.hpp"
#include "drivers/json/field_reader.hpp"
#include "drivers/json/json_text.hpp"
#include "drivers/json/json_writer.hpp"

namespace fuchsiaquay {
namespace {

constexpr std::size_t max_text_bytes = 1024;
constexpr std::size_t max_past_edits = 1000;
constexpr std::int64_t max_revision = std::numeric_limits<std::int64_t>::max();

web::json::value print_edit(const contract_edit& edit) {
    web::json::value out = web::json::value::object(true);
    out["mark"] = web::json::value::string(edit.edit_id);
    out["author"] = web::json::value::string(edit.author);
    out["at"] = web::json::value::string(edit.edited_at);
    out["erased"] = web::json::value::boolean(edit.erased);
    return out;
}

contract_edit read_edit(field_reader fields) {
    contract_edit edit;
    edit.edit_id = fields.text_or("mark", max_text_bytes, "");
    edit.author = fields.text_or("author", max_text_bytes, "");
    edit.edited_at = fields.text_or("at", max_text_bytes, "");
    edit.erased = fields.bool_or("erased", false);
    return edit;
}

past_revision read_past(const web::json::value& item, const std::string& path) {
    field_reader fields(item, path);
    past_revision past;
    past.revision = fields.integer("revision", 0, max_revision);
    past.edit = read_edit(fields.object("edit"));
    past.document = fields.text_or("document", max_contract_bytes, "");
    return past;
}

}  // namespace

contract json_contract_format::parse(const std::string& text, std::int64_t revision) const {
    return parse_contract(text, revision);
}

std::string json_contract_format::print(const contract& value) const {
    return print_contract(value);
}

contract_history json_contract_format::parse_history(const std::string& text) const {
    try {
        field_reader fields(parse_object(text), "");
        contract_history history;
        history.current = read_edit(fields.object("current"));
        for (const auto& [item, path] : fields.items("past", max_past_edits)) {
            history.past.push_back(read_past(item, path));
        }
        return history;
    } catch (const field_error& error) {
        throw json_error("contract history: " + error.field() + ": " + error.what());
    }
}

std::string json_contract_format::print_history(const contract_history& value) const {
    web::json::value past = web::json::value::array(value.past.size());
    for (std::size_t i = 0; i < value.past.size(); ++i) {
        web::json::value item = web::json::value::object(true);
        item["revision"] = web::json::value::number(value.past[i].revision);
        item["edit"] = print_edit(value.past[i].edit);
        item["document"] = web::json::value::string(value.past[i].document);
        past[i] = item;
    }
    web::json::value out = web::json::value::object(true);
    out["current"] = print_edit(value.current);
    out["past"] = past;
    return write_json(out, json_layout::one_line);
}

std::int64_t json_contract_format::parse_index(const std::string& text) const {
    try {
        return field_reader(parse_object(text), "").integer("changes", 0, max_revision);
    } catch (const field_error& error) {
        throw json_error("contracts index: " + error.field() + ": " + error.what());
    }
}

std::string json_contract_format::print_index(std::int64_t changes) const {
    web::json::value out = web::json::value::object(true);
    out["changes"] = web::json::value::number(changes);
    return write_json(out, json_layout::one_line);
}

}  // namespace fuchsiaquay
