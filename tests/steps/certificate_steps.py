"""Steps for a router that serves its callers over TLS."""

import http.client
import ssl
import tempfile
from datetime import datetime, timedelta, timezone
from pathlib import Path

from behave import given, then, when
from behave.runner import Context
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

from chervilstall.settings.processes import ListenSettings
from tests.support.agent_fleet import eventually
from tests.support.router_harness import ANY_PORT, RouterHarness, short_timeout_settings


def write_certificate(folder: Path, name: str) -> None:
    """Write a self-signed certificate and its key, with `name` as the common name."""
    key = ec.generate_private_key(ec.SECP256R1())
    subject = x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, name)])
    now = datetime.now(timezone.utc)
    certificate = (
        x509.CertificateBuilder()
        .subject_name(subject)
        .issuer_name(subject)
        .public_key(key.public_key())
        .serial_number(x509.random_serial_number())
        .not_valid_before(now - timedelta(days=1))
        .not_valid_after(now + timedelta(days=1))
        .sign(key, hashes.SHA256())
    )
    pem = serialization.Encoding.PEM
    (folder / "key.pem").write_bytes(
        key.private_bytes(
            pem,
            serialization.PrivateFormat.PKCS8,
            serialization.NoEncryption(),
        )
    )
    (folder / "certificate.pem").write_bytes(certificate.public_bytes(pem))


def served_name(context: Context) -> str:
    """Return the common name of the certificate that a new connection gets."""
    address = context.router_harness.router.server.caller_address
    tls_context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    tls_context.check_hostname = False
    tls_context.verify_mode = ssl.CERT_NONE
    connection = http.client.HTTPSConnection(
        address.host, address.port, context=tls_context, timeout=5
    )
    connection.request("GET", "/v1/models")
    assert connection.getresponse().status == 401
    der = connection.sock.getpeercert(binary_form=True)
    connection.close()
    certificate = x509.load_der_x509_certificate(der)
    return certificate.subject.get_attributes_for_oid(NameOID.COMMON_NAME)[0].value


@given("a router with TLS and stand-in targets")
def start_tls_router(context: Context) -> None:
    context.folder = Path(tempfile.mkdtemp())
    write_certificate(context.folder, "first")
    listen = ListenSettings(
        callers=ANY_PORT,
        admin=ANY_PORT,
        tls_certificate=str(context.folder / "certificate.pem"),
        tls_key=str(context.folder / "key.pem"),
    )
    context.router_harness = RouterHarness(short_timeout_settings(listen=listen))
    context.stoppables.append(context.router_harness)
    assert served_name(context) == "first"


@when("the certificate is replaced")
def replace_certificate(context: Context) -> None:
    write_certificate(context.folder, "second")


@then("new connections see the new certificate")
def check_certificate(context: Context) -> None:
    eventually(lambda: served_name(context) == "second", 6.0)
