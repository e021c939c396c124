#include "drivers/json/json_parser.hpp"

#include "drivers/json/json_text.hpp"

namespace fuchsiaquay {

web::json::value parse_json(const std::string& text) {
    // The overload that returns an error code also throws, and not only json_exception: a pair of
    // escaped surrogates that is malformed gives a range_error.
    try {
        return web::json::value::parse(text);
    } catch (const std::exception& error) {
        throw json_error(std::string("the text is not JSON: ") + error.what());
    }
}

}  // namespace fuchsiaquay
