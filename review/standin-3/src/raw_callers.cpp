#include "standins.h"

#include <atomic>
#include <thread>
#include <vector>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

/** Callers that send heads as bytes, with fields that an HTTP library would not send. */
namespace lacewing::review
{
namespace
{

constexpr const char *host = "jepu9.example";
constexpr const char *apiKey = "9dnn2ctnfzs989anu6ws";

/** Returns the head of a request whose Connection field has many names, and that has many other fields. */
std::string headText(const std::string &id, int names, int fields)
{
    std::string text = "GET /balance-read/2f HTTP/1.1\r\nHost: " + std::string(host) + "\r\nAttempt-Id: " + id
        + "\r\nDeadline-Ms: 1500\r\nAuthorization: Bearer " + apiKey + "\r\nConnection: close";
    for (int name = 0; name < names; ++name) {
        text += ",a";
    }
    text += "\r\n";
    for (int field = 0; field < fields; ++field) {
        text += "b:\r\n";
    }
    return text + "\r\n";
}

/** Sends a head on a connection of its own. @return whether the answer began with success in time */
bool send(const sockaddr_in &address, const std::string &head)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
    const timeval patience { 1, 500'000 };
    setsockopt(descriptor, SOL_SOCKET, SO_RCVTIMEO, &patience, sizeof patience);
    setsockopt(descriptor, SOL_SOCKET, SO_SNDTIMEO, &patience, sizeof patience);
    std::string answer(64, '\0');
    const bool isSent = connect(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0
        && ::send(descriptor, head.data(), head.size(), MSG_NOSIGNAL) == ssize_t(head.size());
    const bool isServed =
        isSent && recv(descriptor, answer.data(), answer.size(), 0) > 0 && answer.starts_with("HTTP/1.1 200");
    close(descriptor);
    return isServed;
}

} // namespace

int runRawCallers(const Options &options)
{
    Record record(options.text("record"));
    const auto target = net::parseAddress(options.text("address"));
    if (!target) {
        return 2;
    }
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(target.value().port);
    address.sin_addr.s_addr = inet_addr(target.value().ip.c_str());
    const int callers = int(options.number("at-once", 32));
    const auto period = std::chrono::duration<double>(callers / options.number("per-second", 5));
    const auto time = std::chrono::duration<double>(options.number("seconds", 10));
    const int names = int(options.number("names", 0));
    const int fields = int(options.number("fields", 0));
    const auto start = std::chrono::steady_clock::now();
    std::atomic<int> sent = 0;
    std::atomic<int> served = 0;
    std::vector<std::thread> threads;
    for (int caller = 0; caller < callers; ++caller) {
        threads.emplace_back([&, caller] {
            for (auto next = start + period * caller / callers; next - start < time; next += period) {
                std::this_thread::sleep_until(next);
                const std::string id = options.text("name") + "-" + std::to_string(++sent);
                served += send(address, headText(id, names, fields)) ? 1 : 0;
            }
        });
    }
    for (auto &thread : threads) {
        thread.join();
    }
    const auto bytes = headText("name-1000", names, fields).size();
    record.write("callers " + options.text("name") + ": " + std::to_string(sent) + " sent, heads of "
                 + std::to_string(bytes) + " bytes, " + std::to_string(served) + " served in time");
    return 0;
}

} // namespace lacewing::review
