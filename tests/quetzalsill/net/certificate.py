"""Generates certificates for tests."""

from __future__ import annotations

import datetime
import ipaddress
import pathlib

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509 import oid

from quetzalsill.settings import section

__all__ = ['Authority']

DAY = datetime.timedelta(days=1)


class Authority:
    """A certificate authority that writes its files to a directory."""

    def __init__(self, folder: pathlib.Path, name: str) -> None:
        self._folder = folder
        self._name = _name(name)
        self._key = ec.generate_private_key(ec.SECP256R1())
        self.path = folder / f'{name}.pem'
        certificate = self._sign(self._name, self._key, DAY, is_authority=True)
        self.path.write_bytes(_pem(certificate))

    def issue(self, name: str, lasts: datetime.timedelta = DAY) -> section.Tls:
        """Writes a certificate for 127.0.0.1; negative `lasts`: expired."""
        key = ec.generate_private_key(ec.SECP256R1())
        certificate = self._sign(_name(name), key, lasts, is_authority=False)
        chain = self._folder / f'{name}.crt'
        secret = self._folder / f'{name}.key'
        chain.write_bytes(_pem(certificate))
        secret.write_bytes(
            key.private_bytes(
                serialization.Encoding.PEM,
                serialization.PrivateFormat.PKCS8,
                serialization.NoEncryption(),
            )
        )
        return section.Tls(str(chain), str(secret), str(self.path))

    def _sign(
        self,
        subject: x509.Name,
        key: ec.EllipticCurvePrivateKey,
        lasts: datetime.timedelta,
        *,
        is_authority: bool,
    ) -> x509.Certificate:
        now = datetime.datetime.now(datetime.UTC)
        address = x509.IPAddress(ipaddress.ip_address('127.0.0.1'))
        return (
            x509.CertificateBuilder()
            .subject_name(subject)
            .issuer_name(self._name)
            .public_key(key.public_key())
            .serial_number(x509.random_serial_number())
            .not_valid_before(now - 3 * DAY)
            .not_valid_after(now + lasts)
            .add_extension(x509.BasicConstraints(is_authority, None), True)
            .add_extension(x509.SubjectAlternativeName([address]), False)
            .sign(self._key, hashes.SHA256())
        )


def _name(text: str) -> x509.Name:
    return x509.Name([x509.NameAttribute(oid.NameOID.COMMON_NAME, text)])


def _pem(certificate: x509.Certificate) -> bytes:
    return certificate.public_bytes(serialization.Encoding.PEM)
