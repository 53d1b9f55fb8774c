#pragma once

#include <net/net.h>

#include <list>
#include <map>
#include <string>
#include <vector>

namespace lacewing::review
{

/** The platform's store: keyed topics of one partition each. Answers after 4 ms, with up to 500 records a page. */
class Store
{
public:
    Store(net::EventLoop &loop, const std::string &ip);

    bool start();
    std::string address() const;
    /** Writes a record; an empty value drops the key. */
    void write(const std::string &topic, const std::string &key, const std::string &value);

private:
    struct Record {
        std::string key;
        std::string value;
    };
    struct PendingRead {
        std::uint64_t id;
        std::uint64_t from;
        net::ResponseWriter writer;
    };
    struct Topic {
        std::vector<Record> records; ///< by offset
        std::map<std::string, std::uint64_t> newest; ///< offset by key
        std::list<PendingRead> pendingReads;
    };

    void handle(const net::HttpRequest &request, net::ResponseWriter writer);
    void append(const net::HttpRequest &request, net::ResponseWriter &writer);
    void read(const net::HttpRequest &request, net::ResponseWriter &writer);
    void readNewest(const net::HttpRequest &request, net::ResponseWriter &writer);
    void answer(const Topic &topic, std::uint64_t from, net::ResponseWriter &writer) const;

    net::EventLoop &loop_;
    std::string ip_;
    net::HttpServer server_;
    std::map<std::string, Topic> topics_;
    std::uint64_t lastRead_ = 0;
};

} // namespace lacewing::review
