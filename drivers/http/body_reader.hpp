#pragma once

#include <cpprest/streams.h>

#include <functional>
#include <memory>
#include <string>

namespace fuchsiaquay {

/// Reads a body stream piece by piece as it arrives, without blocking a thread. Private to the
/// HTTP bindings: it brings cpprestsdk headers with it.
class body_reader : public std::enable_shared_from_this<body_reader> {
public:
    /// Receives each piece; returning false ends the reading.
    using piece_handler = std::function<bool(const std::string& piece)>;
    /// Called once at the end, with an empty text or the failure.
    using end_handler = std::function<void(const std::string& failure)>;

    static void read(const concurrency::streams::istream& body, piece_handler piece,
                     end_handler end);

private:
    body_reader(const concurrency::streams::istream& body, piece_handler piece, end_handler end);

    void wait();
    /// False when the receiver wants no more.
    bool take_available();

    concurrency::streams::istream body_;
    piece_handler piece_;
    end_handler end_;
};

}  // namespace fuchsiaquay
