"""Creation of self-signed certificates for 127.0.0.1."""

from datetime import datetime, timedelta, UTC
from ipaddress import IPv4Address
from pathlib import Path

from cryptography.hazmat.primitives.asymmetric.ec import generate_private_key, SECP256R1
from cryptography.hazmat.primitives.hashes import SHA256
from cryptography.hazmat.primitives.serialization import (
    Encoding,
    NoEncryption,
    PrivateFormat,
)
from cryptography.x509 import (
    BasicConstraints,
    CertificateBuilder,
    IPAddress,
    Name,
    NameAttribute,
    random_serial_number,
    SubjectAlternativeName,
)
from cryptography.x509.oid import NameOID


def write_certificate(directory: Path) -> tuple[Path, Path]:
    """Write a certificate and its private key as PEM and return their paths."""
    key = generate_private_key(SECP256R1())
    name = Name([NameAttribute(NameOID.COMMON_NAME, "primroseturn test")])
    now = datetime.now(UTC)
    certificate = (
        CertificateBuilder()
        .subject_name(name)
        .issuer_name(name)
        .public_key(key.public_key())
        .serial_number(random_serial_number())
        .not_valid_before(now - timedelta(minutes=5))
        .not_valid_after(now + timedelta(hours=1))
        .add_extension(BasicConstraints(ca=True, path_length=None), critical=True)
        .add_extension(
            SubjectAlternativeName([IPAddress(IPv4Address("127.0.0.1"))]),
            critical=False,
        )
        .sign(key, SHA256())
    )
    certificate_file, key_file = directory / "cert.pem", directory / "key.pem"
    certificate_file.write_bytes(certificate.public_bytes(Encoding.PEM))
    key_file.write_bytes(
        key.private_bytes(Encoding.PEM, PrivateFormat.PKCS8, NoEncryption())
    )
    return certificate_file, key_file
