#include <CppUTest/TestHarness.h>
#include <cpprest/json.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>
#include <string>

#include "servers/admin/admin_route.hpp"

using namespace fuchsiaquay;

TEST_GROUP(openapi){
    web::json::value read(){std::ifstream file(std::filesystem::path(FUCHSIAQUAY_SOURCE_DIR) /
                                               "drivers/admin/openapi.json");
std::ostringstream text;
text << file.rdbuf();
return web::json::value::parse(text.str());
}
}
;

TEST(openapi, description_and_routing_table_list_the_same_operations) {
    std::set<std::string> described;
    const web::json::value document = read();
    for (const auto& path : document.at("paths").as_object()) {
        for (const auto& operation : path.second.as_object()) {
            described.insert(operation.first + " " + path.first + " " +
                             operation.second.at("operationId").as_string() + " " +
                             operation.second.at("x-role").as_string());
        }
    }
    std::set<std::string> routed;
    for (const admin_route& route : admin_routes()) {
        std::string method(route.method);
        std::transform(method.begin(), method.end(), method.begin(),
                       [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
        routed.insert(method + " " + std::string(route.pattern) + " " + std::string(route.name) +
                      (route.role == operator_role::change ? " change" : " read"));
    }
    CHECK_TRUE(described == routed);
}

TEST(openapi, path_parameters_are_described) {
    const web::json::value document = read();
    for (const auto& path : document.at("paths").as_object()) {
        const auto braces = std::count(path.first.begin(), path.first.end(), '{');
        for (const auto& operation : path.second.as_object()) {
            long described = 0;
            for (const auto& parameter : operation.second.at("parameters").as_array()) {
                described += parameter.at("in").as_string() == "path" ? 1 : 0;
            }
            CHECK_EQUAL(braces, described);
        }
    }
}
