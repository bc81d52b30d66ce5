#include "http/tests/raw_peers.h"
#include "http/tests/test_loop.h"

#include <fstream>

#ifdef __SANITIZE_ADDRESS__
// GCC does not install sanitizer/allocator_interface.h.
extern "C" std::size_t __sanitizer_get_current_allocated_bytes();
#endif

namespace heatherdrift {
namespace {

    constexpr std::size_t budgetBytes = 40u << 20;
    constexpr std::size_t bodyBytes = 6u << 20;
    constexpr std::size_t chunkBytes = 64 * 1024;
    constexpr int clients = 24;
    /// Buffers of the connections on both sides, and of the allocator.
    constexpr std::size_t otherBytes = 12u << 20;

    /// Memory that the process holds. AddressSanitizer keeps freed memory resident in its quarantine (256 MB by
    /// default), so that only its count of allocated bytes shows what is held.
    std::size_t heldBytes()
    {
#ifdef __SANITIZE_ADDRESS__
        return __sanitizer_get_current_allocated_bytes();
#else
        std::ifstream file("/proc/self/statm");
        std::size_t total = 0;
        std::size_t resident = 0;
        file >> total >> resident;
        return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
#endif
    }

    /// Client that uploads a body in chunks as fast as the server takes it.
    class uploading_client {
    public:
        explicit uploading_client(const endpoint& server)
            : m_descriptor(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
        {
            sockaddr_in address {};
            address.sin_family = AF_INET;
            address.sin_port = htons(server.port);
            address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
            EXPECT_EQ(connect(m_descriptor, reinterpret_cast<sockaddr*>(&address), sizeof(address)), 0);
        }
        ~uploading_client() { ::close(m_descriptor); }
        uploading_client(const uploading_client&) = delete;
        uploading_client& operator=(const uploading_client&) = delete;

        /// Writes the next bytes. Returns false if all are written or the server has refused the body.
        bool write()
        {
            if (m_unsent.empty() && m_written < bodyBytes) {
                m_written += chunkBytes;
                m_unsent
                    = "10000\r\n" + std::string(chunkBytes, 'x') + "\r\n" + (m_written < bodyBytes ? "" : "0\r\n\r\n");
            }
            const auto size = ::send(m_descriptor, m_unsent.data(), m_unsent.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
            if (size < 0 && errno != EAGAIN)
                return false;
            m_unsent.erase(0, static_cast<std::size_t>(std::max<ssize_t>(size, 0)));
            return !m_unsent.empty() || m_written < bodyBytes;
        }

    private:
        int m_descriptor;
        std::size_t m_written = 0;
        std::string m_unsent = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
    };

    // Guards against bodies in chunks that take more memory than is counted for them, at uploads that arrive together
    // and backend servers that do not read: a node was ended by the platform for its memory.
    TEST(ResidentMemory, ChunkedUploadsStayWithinTheBudget)
    {
        releaseFreedBodies();
        test_loop loop;
        plain_listener slowBackend(clients);
        const auto toBackend = http_client::create(loop.base(), slowBackend.address(), clients);
        const auto budget = byte_budget::create(budgetBytes);
        std::vector<http_exchange_ptr> held;
        const auto server = http_server::listen(
            loop.base(), { "127.0.0.1", 0 }, { 16 * 1024, 64u << 20, 120, 1 }, [&](http_exchange_ptr exchange) {
                const auto& request = exchange->request();
                fetch(*toBackend, { "POST", "/", {}, request.body }, test_loop::farDeadline(), 1 << 20,
                    [](const result<http_response>&) {});
                held.push_back(std::move(exchange));
            }).value();
        server->setMemory(budget, {});
        const auto before = heldBytes();
        std::size_t most = 0;
        std::vector<std::unique_ptr<uploading_client>> uploads;
        for (int i = 0; i < clients; ++i)
            uploads.push_back(std::make_unique<uploading_client>(server->address()));
        for (bool isWriting = true; isWriting;) {
            isWriting = false;
            for (const auto& upload : uploads) {
                isWriting = upload->write() || isWriting;
                event_base_loop(loop.base(), EVLOOP_NONBLOCK);
            }
            EXPECT_LE(budget->usedBytes(), budgetBytes);
            most = std::max(most, heldBytes());
        }
        loop.runReady();
        most = std::max(most, heldBytes());
        EXPECT_GE(held.size(), 2u) << "what fits is accepted";
        EXPECT_LE(most - before, budgetBytes + otherBytes) << held.size() << " bodies held";
    }

} // namespace
} // namespace heatherdrift
