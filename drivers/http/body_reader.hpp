#pragma once

#include <cpprest/streams.h>

#include <functional>
#include <memory>
#include <string>

namespace fuchsiaquay {

/// Reads a body stream in pieces as they arrive, without blocking a thread. Includes cpprestsdk
/// headers; include only in the HTTP drivers.
class body_reader : public std::enable_shared_from_this<body_reader> {
public:
    /// Receives each piece. Reading stops if it returns false.
    using piece_handler = std::function<bool(const std::string& piece)>;
    /// Called once at the end. `failure` is empty if the body was read without an error.
    using end_handler = std::function<void(const std::string& failure)>;

    static void read(const concurrency::streams::istream& body, piece_handler piece,
                     end_handler end);

private:
    body_reader(const concurrency::streams::istream& body, piece_handler piece, end_handler end);

    void wait_for_data();
    /// Passes on the bytes that have arrived. Returns false if the handler stopped the reading.
    bool read_available();

    concurrency::streams::istream body_;
    piece_handler piece_;
    end_handler end_;
};

}  // namespace fuchsiaquay
