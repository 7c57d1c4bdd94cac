#include <catch2/catch.hpp>

#include <vanillalift/rpc.h>

#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509v3.h>

#include <cstdio>
#include <filesystem>

using namespace vanillalift;

namespace {

/// A self-signed certificate for 127.0.0.1 and its key, as PEM files in a temporary folder.
class Certificate {
public:
    Certificate()
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "vanillalift-tls-XXXXXX").string();
        m_folder = mkdtemp(pattern.data());
        auto* key = EVP_RSA_gen(2048);
        auto* x509 = X509_new();
        X509_set_version(x509, 2);
        ASN1_INTEGER_set(X509_get_serialNumber(x509), 1);
        X509_gmtime_adj(X509_getm_notBefore(x509), -60);
        X509_gmtime_adj(X509_getm_notAfter(x509), 3600);
        X509_set_pubkey(x509, key);
        auto* name = X509_get_subject_name(x509);
        X509_NAME_add_entry_by_txt(name, "CN", MBSTRING_ASC, reinterpret_cast<const unsigned char*>("control"), -1, -1, 0);
        X509_set_issuer_name(x509, name);
        auto* extension = X509V3_EXT_conf_nid(nullptr, nullptr, NID_subject_alt_name, "IP:127.0.0.1");
        X509_add_ext(x509, extension, -1);
        X509_sign(x509, key, EVP_sha256());
        write(certificateFile(), [&](FILE* file) { PEM_write_X509(file, x509); });
        write(keyFile(), [&](FILE* file) { PEM_write_PrivateKey(file, key, nullptr, nullptr, 0, nullptr, nullptr); });
        X509_EXTENSION_free(extension);
        X509_free(x509);
        EVP_PKEY_free(key);
    }
    ~Certificate() { std::filesystem::remove_all(m_folder); }
    Certificate(const Certificate&) = delete;
    Certificate& operator=(const Certificate&) = delete;

    [[nodiscard]] std::string certificateFile() const { return m_folder + "/certificate.pem"; }
    [[nodiscard]] std::string keyFile() const { return m_folder + "/key.pem"; }

private:
    template <typename Writer>
    static void write(const std::string& path, Writer writer)
    {
        auto* file = std::fopen(path.c_str(), "w");
        REQUIRE(file);
        writer(file);
        std::fclose(file);
    }

    std::string m_folder;
};

TimePoint callDeadline() { return BootClock::now() + std::chrono::seconds(10); }

} // namespace

TEST_CASE("operators' calls go over TLS only to a server whose certificate is known", "[rpc]")
{
    Certificate certificate;
    Certificate otherCertificate;
    RpcServer server({ .address = "127.0.0.1", .threads = 4, .certificateFile = certificate.certificateFile(), .keyFile = certificate.keyFile() });
    server.add("echo", [](const nlohmann::json& params) -> RpcResult { return params; });
    REQUIRE(server.start());
    auto address = "127.0.0.1:" + std::to_string(server.port());
    RpcClient trustingClient(address, "", certificate.certificateFile());
    auto result = trustingClient.call("echo", { { "n", 7 } }, callDeadline());
    REQUIRE(result);
    CHECK(result->at("n") == 7);
    RpcClient mistrustingClient(address, "", otherCertificate.certificateFile());
    CHECK_FALSE(mistrustingClient.call("echo", { { "n", 7 } }, callDeadline()));
    RpcClient plaintextClient(address, "");
    CHECK_FALSE(plaintextClient.call("echo", { { "n", 7 } }, callDeadline()));
}

TEST_CASE("a server whose certificate or key cannot be used does not start", "[rpc]")
{
    Certificate certificate;
    RpcServer server({ .address = "127.0.0.1", .threads = 4, .certificateFile = certificate.certificateFile(), .keyFile = "/nonexistent/key.pem" });
    CHECK_FALSE(server.start());
}
