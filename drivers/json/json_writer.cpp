#include "drivers/json/json_writer.hpp"

#include <charconv>
#include <cmath>
#include <cstddef>

#include "drivers/json/json_parser.hpp"
#include "drivers/json/json_text.hpp"

namespace fuchsiaquay {
namespace {

constexpr std::size_t indent_width = 2;

/// Serializes values and appends them to a text.
class writer {
public:
    explicit writer(json_layout layout) : indented_(layout == json_layout::indented) {}

    void value(const web::json::value& item) {
        if (item.is_object()) {
            object(item.as_object());
        } else if (item.is_array()) {
            array(item.as_array());
        } else if (item.is_double()) {
            real(item.as_double());
        } else {
            text_ += item.serialize();
        }
    }

    std::string take() { return std::move(text_); }

private:
    void object(const web::json::object& members) {
        open('{');
        bool first = true;
        for (const auto& member : members) {
            separate(first);
            text_ += quote_json(member.first);
            text_ += indented_ ? ": " : ":";
            value(member.second);
        }
        close('}', first);
    }

    void array(const web::json::array& items) {
        open('[');
        bool first = true;
        for (const auto& item : items) {
            separate(first);
            value(item);
        }
        close(']', first);
    }

    void real(double number) {
        if (!std::isfinite(number)) {
            text_ += "null";
            return;
        }
        constexpr std::size_t max_double_chars = 32;
        char digits[max_double_chars];
        const auto end = std::to_chars(digits, digits + max_double_chars, number);
        text_.append(digits, end.ptr);
    }

    void open(char bracket) {
        text_ += bracket;
        ++depth_;
    }

    void separate(bool& first) {
        if (!first) {
            text_ += ',';
        }
        first = false;
        line();
    }

    void close(char bracket, bool empty) {
        --depth_;
        if (!empty) {
            line();
        }
        text_ += bracket;
    }

    void line() {
        if (indented_) {
            text_ += '\n';
            text_.append(depth_ * indent_width, ' ');
        }
    }

    bool indented_;
    std::size_t depth_ = 0;
    std::string text_;
};

}  // namespace

std::string write_json(const web::json::value& value, json_layout layout) {
    writer out(layout);
    out.value(value);
    return out.take();
}

std::string indent_json(const std::string& json) {
    web::json::keep_object_element_order(true);
    return write_json(parse_json(json), json_layout::indented) + "\n";
}

std::string quote_json(const std::string& text) {
    return web::json::value::string(text).serialize();
}

}  // namespace fuchsiaquay
